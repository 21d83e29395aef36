//! The configuration service as each daemon sees it.

use jasminepond_config::Files;
use jasminepond_sync::{Digest, FileRef, ServiceFailure};
use jasminepond_types::{Revision, Timestamp};

use super::{Cluster, Event, Mode, SERVICE_DELAY, folder};

impl Cluster {
    /// The error that the service returns for every call in the current mode, if any.
    pub(super) fn failure(&self, at: usize) -> Option<ServiceFailure> {
        match self.modes[at] {
            Mode::Down => Some(ServiceFailure::Unavailable),
            Mode::Refusing => Some(ServiceFailure::Refused),
            _ => None,
        }
    }

    /// The revision and files that the service serves to the daemon.
    pub(super) fn service(&self, at: usize) -> (Revision, Files) {
        match &self.modes[at] {
            Mode::Stale(revision, files) => (*revision, files.clone()),
            _ => (self.revision, self.files.clone()),
        }
    }

    pub(super) fn watched(&mut self, now: Timestamp, at: usize, after: Revision) {
        let failure = self.failure(at);
        let (revision, files) = self.service(at);
        let stale = matches!(self.modes[at], Mode::Stale(..));
        if stale && self.disabled == "revision-check" {
            // Without the check, any revision from the service takes effect.
            self.apply_revision(at, revision, &files);
        }
        let daemon = &mut self.daemons[at];
        let actions = if let Some(failure) = failure {
            daemon.sync.service_failed(now, failure)
        } else if revision > after || stale {
            let file = |(name, content): (&String, &Vec<u8>)| FileRef {
                name: name.as_str().into(),
                digest: Digest::of(content),
                size: content.len() as u64,
            };
            let list = files.iter().map(file).collect();
            daemon.sync.service_tree(now, revision, list)
        } else {
            daemon.watching = Some(after);
            return;
        };
        self.perform(now, at, actions);
    }

    pub(super) fn fetched(&mut self, now: Timestamp, at: usize, name: &str, digest: Digest) {
        let failure = self.failure(at);
        let (revision, mut files) = self.service(at);
        if self.modes[at] == Mode::Torn && name == "20-patch.json" {
            // The requested name, with the content of another revision.
            files.extend(folder("torn"));
            if self.disabled == "torn-read-check" {
                self.apply_revision(at, revision, &files);
                return;
            }
        }
        let content = files.remove(name).unwrap_or_default();
        let torn = self.modes[at] == Mode::Torn;
        let daemon = &mut self.daemons[at];
        let actions = match failure {
            Some(failure) => daemon.sync.service_failed(now, failure),
            None if torn || Digest::of(&content) == digest => {
                daemon.sync.service_file(now, name, content.into())
            }
            None => daemon.sync.service_failed(now, ServiceFailure::FileChanged),
        };
        self.perform(now, at, actions);
    }

    /// Completes the pending watches after a change of the service; those that it
    /// does not answer are set again.
    pub(super) fn end_answered_watches(&mut self, now: Timestamp) {
        for at in 0..self.daemons.len() {
            let daemon = &mut self.daemons[at];
            let Some(after) = daemon.watching.take() else {
                continue;
            };
            let call = daemon.call;
            self.net
                .push(now + SERVICE_DELAY, Event::Watched { at, call, after });
        }
    }
}
