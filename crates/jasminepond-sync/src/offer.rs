//! Completes a revision, offers it to the caller and records refusals and
//! conflicts.

use jasminepond_types::{Revision, Timestamp};

use crate::{
    Action, Digest, FileRef, Refusal, Source, Sync, SyncMessage,
    manifest::Manifest,
    pull::{ChunkRequest, Target},
    store::CompleteRevision,
    sync::{File, Offered},
};

/// Maximum number of refused and of conflicting revisions that are recorded.
const MAX_REMEMBERED: usize = 16;

impl Sync {
    /// The caller has put the offered revision into effect.
    pub fn accepted(&mut self, now: Timestamp, revision: Revision) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(offered) = self.offered.take_if(|o| o.complete.revision == revision) else {
            return out;
        };
        self.source = Some(offered.source);
        self.store.current = Some(offered.complete);
        match self.target.as_ref().and_then(|t| t.manifest.as_ref()) {
            Some(manifest) => self.store.keep_only(manifest),
            None => self.store.pool.clear(),
        }
        self.target.take_if(|t| t.revision <= revision);
        self.announce(now, &mut out);
        self.due.reannounce = Some(now + self.settings.reannounce_after);
        self.step_pull(now, &mut out);
        self.step_service(now, &mut out);
        out
    }

    /// The caller refused the offered revision. It is not fetched again and not
    /// announced to peers.
    pub fn refused(
        &mut self,
        now: Timestamp,
        revision: Revision,
        reason: impl Into<String>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let offered = self.offered.take_if(|o| o.complete.revision == revision);
        if let Some(offered) = offered {
            self.service.skip = self.service.skip.max(revision);
            self.remember_refused(revision, Some(offered.complete.digest), reason.into());
            self.step_pull(now, &mut out);
            self.step_service(now, &mut out);
        }
        out
    }

    pub(crate) fn remember_refused(
        &mut self,
        revision: Revision,
        digest: Option<Digest>,
        reason: String,
    ) {
        if self.refused.len() == MAX_REMEMBERED {
            self.refused.remove(0);
        }
        self.refused.push(Refusal {
            revision,
            digest,
            reason,
        });
    }

    pub(crate) fn is_refused(&self, revision: Revision, digest: Digest) -> bool {
        let same = |r: &Refusal| r.revision == revision && r.digest == Some(digest);
        self.refused.iter().any(same)
    }

    /// Reports each conflicting digest once.
    pub(crate) fn report_conflict(
        &mut self,
        (revision, ours, theirs): (Revision, Digest, Digest),
        source: Source,
        out: &mut Vec<Action>,
    ) {
        if !self.conflicts.insert((revision, theirs)) {
            return;
        }
        if self.conflicts.len() > MAX_REMEMBERED {
            self.conflicts.pop_first();
        }
        out.push(Action::Conflict {
            revision,
            ours,
            theirs,
            source,
        });
    }

    /// Sends the requests that are due for the target, and offers the target once
    /// it is complete.
    pub(crate) fn step_pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.offer(out);
        self.target.take_if(|t| t.is_abandoned());
        let Some(target) = &mut self.target else {
            return;
        };
        let timeout = self.settings.request_timeout;
        for request in target.due_requests(now, timeout, &self.store) {
            self.send_request(request, out);
        }
    }

    pub(crate) fn send_request(&self, request: ChunkRequest, out: &mut Vec<Action>) {
        let Some(target) = &self.target else {
            return;
        };
        let message = SyncMessage::Get {
            revision: target.revision,
            digest: request.digest,
            offset: request.offset,
        };
        let to = request.to;
        out.push(Action::Send { to, message });
    }

    /// Offers the target if it is complete and no offer is pending.
    fn offer(&mut self, out: &mut Vec<Action>) {
        if self.offered.is_some() {
            return;
        }
        let store = &self.store;
        let Some(target) = self.target.take_if(|t| t.is_complete(store)) else {
            return;
        };
        let manifest = target.manifest.as_ref();
        let complete =
            manifest.and_then(|m| self.store.assemble(target.revision, target.digest, m));
        let Some(complete) = complete.filter(|c| c.revision > self.store.revision()) else {
            return;
        };
        out.push(Action::Offer {
            revision: complete.revision,
            files: files(&complete),
        });
        let source = match (target.from_service, target.last_source) {
            (false, Some(peer)) => Source::Peer(peer),
            _ => Source::Service,
        };
        self.offered = Some(Offered { complete, source });
    }

    /// Replaces the revision being fetched. Files already received are kept.
    pub(crate) fn set_target(&mut self, target: Target) {
        self.target = Some(target);
    }

    pub(crate) fn pace(&mut self, now: Timestamp) {
        let readers = self.peers.estimated_readers();
        self.service
            .pace(now, readers, &self.settings, &mut self.rng);
    }

    pub(crate) fn reject_manifest(
        &mut self,
        revision: Revision,
        reason: String,
        out: &mut Vec<Action>,
    ) {
        self.service.skip = self.service.skip.max(revision);
        self.remember_refused(revision, None, reason.clone());
        out.push(Action::RefusedRevision { revision, reason });
    }

    pub(crate) fn manifest(files: Vec<FileRef>) -> Result<Manifest, String> {
        Manifest::new(files).map_err(|err| err.to_string())
    }
}

fn files(complete: &CompleteRevision) -> Vec<File> {
    let refs = complete.manifest.files().iter();
    let files = refs.filter_map(|f| {
        let bytes = complete.blobs.get(&f.digest)?.clone();
        let name = f.name.clone();
        Some(File { name, bytes })
    });
    files.collect()
}
