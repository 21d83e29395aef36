//! Completing a revision, offering it, and remembering what is not used.

use jasminepond_types::{Revision, Timestamp};

use crate::{
    Action, Digest, FileRef, Refusal, Source, Sync, SyncMessage,
    manifest::Manifest,
    pull::{Question, Target},
    store::Complete,
    sync::{File, Offered},
};

/// Refused and conflicting revisions remembered.
const MAX_REMEMBERED: usize = 16;

impl Sync {
    /// The configuration aggregate has put the offered revision into effect.
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
        self.due.repeat = Some(now + self.settings.reannounce_after);
        self.step_pull(now, &mut out);
        self.step_service(now, &mut out);
        out
    }

    /// The configuration aggregate refuses the offered revision. It is not
    /// collected again and not spread.
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

    /// Reports each conflicting content once.
    pub(crate) fn conflict(
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

    /// Sends what is due to complete the target, and offers it once complete.
    pub(crate) fn step_pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.offer(out);
        self.target.take_if(|t| t.is_hopeless());
        let Some(target) = &mut self.target else {
            return;
        };
        let timeout = self.settings.request_timeout;
        for question in target.step(now, timeout, &self.store) {
            self.ask(question, out);
        }
    }

    pub(crate) fn ask(&self, question: Question, out: &mut Vec<Action>) {
        let Some(target) = &self.target else {
            return;
        };
        let message = SyncMessage::Get {
            revision: target.revision,
            digest: question.digest,
            offset: question.offset,
        };
        let to = question.to;
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
            manifest.and_then(|m| self.store.complete(target.revision, target.digest, m));
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

    /// Sets what is collected from now on. Parts that are held stay.
    pub(crate) fn collect(&mut self, target: Target) {
        self.target = Some(target);
    }

    pub(crate) fn pace(&mut self, now: Timestamp) {
        let readers = self.peers.readers_everywhere();
        self.service
            .pace(now, readers, &self.settings, &mut self.rng);
    }

    pub(crate) fn manifest_error(
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

fn files(complete: &Complete) -> Vec<File> {
    let refs = complete.manifest.files().iter();
    let files = refs.filter_map(|f| {
        let bytes = complete.blobs.get(&f.digest)?.clone();
        let name = f.name.clone();
        Some(File { name, bytes })
    });
    files.collect()
}
