//! Configuration part of the control task: performs the actions of the sync state
//! machine and decides which revision takes effect.

use bytes::Bytes;
use jasminepond_config::{Files, OfferOutcome, RefusalReason};
use jasminepond_sync::{Action, File, Role, SyncMessage};
use jasminepond_types::{InstanceId, Revision, Timestamp};
use jasminepond_wire::Frame;
use spdlog::{debug, error, info, warn};

use super::{Control, Report};

/// The name of a role on the status page.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Reader => "reader",
        Role::Follower => "follower",
        Role::Substitute => "substitute",
    }
}

impl Control {
    pub(super) fn on_sync(&mut self, now: Timestamp, from: InstanceId, payload: &Bytes) {
        match ciborium::from_reader::<SyncMessage, _>(&payload[..]) {
            Ok(message) => {
                let actions = self.sync.receive(now, from, message);
                self.perform_sync(now, actions);
            }
            Err(err) => debug!("config: message from {from} refused: {err}"),
        }
    }

    pub(super) fn perform_sync(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            self.perform_action(now, action);
        }
    }

    fn perform_action(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Watch { after } => self.start_watch(after),
            Action::CancelCall => self.watch.stop(),
            Action::FetchFromService { name, digest } => self.fetch(name, digest),
            Action::Send { to, message } => self.send_sync(to, &message),
            Action::Offer { revision, files } => self.offer(now, revision, files),
            Action::RoleChanged(role) => info!("config: this daemon is now {}", role_name(role)),
            Action::Conflict {
                revision,
                ours,
                theirs,
                source,
            } => {
                error!(
                    "config: revision {revision} is {ours} here and {theirs} at {source:?}; \
                     ours stays"
                );
            }
            Action::RefusedRevision { revision, reason } => {
                warn!("config: revision {revision} refused: {reason}");
                self.cx.metrics.config_refused();
            }
        }
    }

    fn send_sync(&mut self, to: InstanceId, message: &SyncMessage) {
        let mut payload = Vec::new();
        match ciborium::into_writer(message, &mut payload) {
            Ok(()) => (self.cx.send)(
                to,
                Frame::Sync {
                    payload: payload.into(),
                },
            ),
            Err(err) => error!("config: a message was not sent: {err}"),
        }
    }

    fn offer(&mut self, now: Timestamp, revision: Revision, files: Vec<File>) {
        let files: Files = files
            .into_iter()
            .map(|file| (file.name.to_string(), file.bytes.to_vec()))
            .collect();
        let actions = match self.acceptance.offer(revision, &files) {
            OfferOutcome::Accepted(config) => {
                info!("config: revision {revision} is in effect");
                self.cx.metrics.set_revision(revision.get());
                (self.cx.report)(Report::Config(revision, config));
                let actions = self.sync.accepted(now, revision);
                if let Some(digest) = self.sync.status(now).digest {
                    self.membership.set_config(revision, digest.as_bytes());
                }
                actions
            }
            OfferOutcome::Older | OfferOutcome::Same => {
                self.sync.refused(now, revision, "not newer")
            }
            OfferOutcome::Conflict => {
                self.sync
                    .refused(now, revision, "other files under one revision")
            }
            OfferOutcome::Invalid(mistakes) => {
                for mistake in &mistakes {
                    error!("config: revision {revision} refused: {mistake}");
                }
                self.cx.metrics.config_refused();
                let first = mistakes
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                let reason = format!("{} mistakes, first: {first}", mistakes.len());
                self.sync.refused(now, revision, reason)
            }
        };
        self.perform_sync(now, actions);
    }

    pub(super) fn mistakes(&self) -> Vec<String> {
        match self
            .acceptance
            .last_refusal()
            .map(|refusal| &refusal.reason)
        {
            Some(RefusalReason::Invalid(mistakes)) => {
                mistakes.iter().map(ToString::to_string).collect()
            }
            Some(RefusalReason::Conflict) | None => Vec::new(),
        }
    }
}
