//! Handles responses of the service and messages from peers.

use std::sync::Arc;

use bytes::Bytes;
use jasminepond_types::{InstanceId, Millis, Revision, Timestamp};

use crate::{
    Action, Digest, FileRef, MAX_CHUNK_BYTES, Role, ServiceFailure, Source, Sync, SyncMessage,
    manifest::Manifest, pull::Target, service::Phase,
};

impl Sync {
    /// The service returned the list of files of a revision.
    pub fn service_tree(
        &mut self,
        now: Timestamp,
        revision: Revision,
        files: Vec<FileRef>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        self.pace(now);
        if revision < self.store.revision() {
            self.on_service_failure(now, ServiceFailure::Stale, &mut out);
            return out;
        }
        self.confirm(now);
        match Self::manifest(files) {
            Ok(manifest) => self.on_tree(revision, manifest, &mut out),
            Err(reason) => self.reject_manifest(revision, reason, &mut out),
        }
        self.step_service(now, &mut out);
        self.step_pull(now, &mut out);
        out
    }

    fn on_tree(&mut self, revision: Revision, manifest: Manifest, out: &mut Vec<Action>) {
        let digest = Digest::of(&manifest.encode());
        if revision == self.store.revision() {
            self.check_conflict(revision, digest, Source::Service, out);
            return;
        }
        let newer = |other: Option<Revision>| other.is_some_and(|other| other > revision);
        let target = self.target.as_ref().map(|t| t.revision);
        let offered = self.offered.as_ref().map(|o| o.complete.revision);
        let known = newer(target) || newer(offered) || offered == Some(revision);
        if known || self.is_refused(revision, digest) {
            return;
        }
        self.set_target(Target::from_service(revision, digest, manifest));
    }

    /// The service has no revision newer than the watched one.
    pub fn service_unchanged(&mut self, now: Timestamp) -> Vec<Action> {
        let mut out = Vec::new();
        self.pace(now);
        self.confirm(now);
        self.step_service(now, &mut out);
        out
    }

    /// The service returned the content of a file.
    pub fn service_file(&mut self, now: Timestamp, name: &str, bytes: Bytes) -> Vec<Action> {
        let mut out = Vec::new();
        self.pace(now);
        let target = self.target.as_mut().filter(|t| t.from_service);
        let asked = target.and_then(|t| t.fetching.take_if(|f| *f.name == *name));
        let Some(file) = asked else {
            return out;
        };
        self.confirm(now);
        if Digest::of(&bytes) == file.digest {
            self.service.reset_torn_reads();
            self.store.pool.insert(file.digest, bytes);
        } else {
            self.retry_torn_read(now);
        }
        self.step_service(now, &mut out);
        self.step_pull(now, &mut out);
        out
    }

    /// A call to the service failed.
    pub fn service_failed(&mut self, now: Timestamp, failure: ServiceFailure) -> Vec<Action> {
        let mut out = Vec::new();
        self.pace(now);
        match failure {
            ServiceFailure::FileChanged => self.retry_torn_read(now),
            _ => self.on_service_failure(now, failure, &mut out),
        }
        self.step_pull(now, &mut out);
        out
    }

    /// The list and a file belong to different revisions: reads the list again.
    fn retry_torn_read(&mut self, now: Timestamp) {
        self.service.torn_read(now, &self.settings);
        self.continue_from_peers();
    }

    fn on_service_failure(
        &mut self,
        now: Timestamp,
        failure: ServiceFailure,
        out: &mut Vec<Action>,
    ) {
        let wait = self
            .service
            .failed(now, failure, &self.settings, &mut self.rng);
        self.continue_from_peers();
        if failure == ServiceFailure::Refused {
            let before = self.roles.role;
            self.roles.back_off(now, wait);
            if self.roles.role != before {
                out.push(Action::RoleChanged(Role::Follower));
            }
        }
    }

    fn confirm(&mut self, now: Timestamp) {
        self.service.succeeded(now);
        self.confirmed = Some(now);
    }

    /// Starts the next call to the service if it is due.
    pub(crate) fn step_service(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.roles.role == Role::Follower || !self.service.may_read(now) {
            return;
        }
        let target = self.target.as_mut().filter(|t| t.from_service);
        if let Some(target) = target {
            let file = target.missing(&self.store).next().cloned();
            if let Some(file) = file {
                self.service.phase = Phase::Fetching;
                out.push(Action::FetchFromService {
                    name: Arc::clone(&file.name),
                    digest: file.digest,
                });
                target.fetching = Some(file);
            }
            return;
        }
        // A watch from the old revision would return the offered one again.
        if self.offered.is_none() {
            self.service.phase = Phase::Watching;
            let after = self.store.revision().max(self.service.skip);
            out.push(Action::Watch { after });
        }
    }

    /// Handles a message from another daemon.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        message: SyncMessage,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        match message {
            SyncMessage::State { revision, digest } => {
                self.on_state(now, &from, revision, digest, &mut out);
            }
            SyncMessage::Heartbeat {
                revision, digest, ..
            } => {
                self.on_state(now, &from, revision, digest, &mut out);
                self.on_heartbeat(now, message, &mut out);
            }
            SyncMessage::Get {
                revision,
                digest,
                offset,
            } => self.on_get(now, from, (revision, digest, offset), &mut out),
            SyncMessage::Chunk {
                digest,
                offset,
                total,
                bytes,
            } => self.on_chunk(now, &from, digest, (offset, total), &bytes, &mut out),
            SyncMessage::Missing { digest: _ } => {
                if let Some(target) = &mut self.target {
                    target.drop_source(&from);
                }
                self.step_pull(now, &mut out);
            }
            SyncMessage::Busy {
                digest,
                retry_after,
            } => {
                let timeout = self.settings.request_timeout;
                let wait = retry_after.duration().min(timeout);
                if let Some(target) = &mut self.target {
                    target.defer(now, &digest, wait);
                }
            }
        }
        out
    }

    /// Handles the announcement of the revision in effect at a peer.
    fn on_state(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        revision: Revision,
        digest: Option<Digest>,
        out: &mut Vec<Action>,
    ) {
        if revision < self.store.revision() {
            let message = self.state_message();
            let to = from.clone();
            out.push(Action::Send { to, message });
            return;
        }
        let Some(digest) = digest else {
            return;
        };
        if revision == self.store.revision() {
            self.check_conflict(revision, digest, Source::Peer(from.clone()), out);
            return;
        }
        self.fetch_newer(now, from, revision, digest, out);
    }

    /// Fetches a newer revision from a peer that has it.
    fn fetch_newer(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        revision: Revision,
        digest: Digest,
        out: &mut Vec<Action>,
    ) {
        let offered = self.offered.as_ref().map(|o| o.complete.revision);
        if self.is_refused(revision, digest) || offered >= Some(revision) {
            return;
        }
        match &mut self.target {
            Some(target) if target.revision > revision => return,
            Some(target) if target.revision == revision && target.digest == digest => {
                target.add_source(from.clone());
            }
            Some(target) if target.revision == revision => {
                let ours = target.digest;
                let source = Source::Peer(from.clone());
                self.report_conflict((revision, ours, digest), source, out);
            }
            _ => {
                // A call to the service may still be pending for the old target.
                if self.service.phase == Phase::Fetching {
                    self.cancel_reading(out);
                }
                let target = Target::from_peer(revision, digest, from.clone());
                self.set_target(target);
            }
        }
        self.reuse_manifest();
        self.step_pull(now, out);
    }

    /// Uses the list of files in effect if the target has the same digest.
    fn reuse_manifest(&mut self) {
        let Some(target) = &mut self.target else {
            return;
        };
        let current = self.store.current.as_ref();
        let same = current.filter(|c| c.digest == target.digest);
        if let (None, Some(current)) = (&target.manifest, same) {
            target.manifest = Some(current.manifest.clone());
        }
    }

    fn check_conflict(
        &mut self,
        revision: Revision,
        theirs: Digest,
        source: Source,
        out: &mut Vec<Action>,
    ) {
        let ours = self.store.digest();
        if let Some(ours) = ours.filter(|&ours| ours != theirs) {
            self.report_conflict((revision, ours, theirs), source, out);
        }
    }

    /// Forwards a reader's heartbeat once.
    fn on_heartbeat(&mut self, now: Timestamp, message: SyncMessage, out: &mut Vec<Action>) {
        let SyncMessage::Heartbeat {
            reader,
            incarnation,
            sequence,
            substitute,
            confirmed,
            ..
        } = message
        else {
            return;
        };
        let version = (incarnation, sequence);
        let own = reader == self.me.instance;
        if own
            || !self
                .roles
                .record_heartbeat(now, reader.clone(), version, substitute)
        {
            return;
        }
        let at = confirmed.map(|age| now - age.duration());
        self.confirmed = self.confirmed.max(at);
        if !self.roles.may_forward(now, &self.settings) {
            return;
        }
        let message = SyncMessage::Heartbeat {
            reader,
            incarnation,
            sequence,
            substitute,
            revision: self.store.revision(),
            digest: self.store.digest(),
            confirmed,
        };
        for to in self.peers.near(&mut self.rng, self.settings.fanout) {
            let message = message.clone();
            out.push(Action::Send { to, message });
        }
    }

    /// Responds to a request for a chunk of the revision in effect. A request for
    /// an older revision gets the revision in effect.
    fn on_get(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        (revision, digest, offset): (Revision, Digest, u64),
        out: &mut Vec<Action>,
    ) {
        let current = self.store.current.as_ref();
        let current = current.filter(|c| c.revision == revision);
        let blob = current.and_then(|c| c.blobs.get(&digest)).cloned();
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let Some(blob) = blob.filter(|blob| start <= blob.len()) else {
            if revision < self.store.revision() {
                let message = self.state_message();
                let to = to.clone();
                out.push(Action::Send { to, message });
            }
            let message = SyncMessage::Missing { digest };
            out.push(Action::Send { to, message });
            return;
        };
        let end = blob.len().min(start + MAX_CHUNK_BYTES);
        let (rate, burst) = (self.settings.send_rate, self.settings.send_burst);
        let message = match self.send_budget.take(now, end - start, rate, burst) {
            Ok(()) => SyncMessage::Chunk {
                digest,
                offset,
                total: blob.len() as u64,
                bytes: blob.slice(start..end),
            },
            Err(wait) => SyncMessage::Busy {
                digest,
                retry_after: Millis::from(wait),
            },
        };
        out.push(Action::Send { to, message });
    }

    fn on_chunk(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        digest: Digest,
        place: (u64, u64),
        bytes: &Bytes,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = &mut self.target else {
            return;
        };
        let deadline = now + self.settings.request_timeout;
        let (whole, next) = target.take_chunk(deadline, from, digest, place, bytes);
        if let Some(request) = next {
            self.send_request(request, out);
        }
        if let Some(whole) = whole {
            self.add_blob(digest, whole, out);
        }
        self.step_pull(now, out);
    }

    /// Stores verified content: a list of files or a file.
    fn add_blob(&mut self, digest: Digest, blob: Bytes, out: &mut Vec<Action>) {
        let Some(target) = &mut self.target else {
            return;
        };
        if target.manifest.is_some() || target.digest != digest {
            self.store.pool.insert(digest, blob);
            return;
        }
        match Manifest::decode(&blob) {
            Ok(manifest) => {
                self.store.keep_only(&manifest);
                target.manifest = Some(manifest);
            }
            Err(err) => {
                let (revision, reason) = (target.revision, err.to_string());
                self.target = None;
                self.remember_refused(revision, Some(digest), reason.clone());
                out.push(Action::RefusedRevision { revision, reason });
            }
        }
    }
}
