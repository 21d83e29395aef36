//! Collecting one revision.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use jasminepond_types::{InstanceId, Revision, Timestamp};

use crate::{
    Digest, FileRef,
    manifest::{MAX_FILE_BYTES, Manifest},
    message::MAX_CHUNK_BYTES,
    store::Store,
};

/// Files asked for at the same time.
const WINDOW: usize = 4;

/// Peers remembered that have the revision.
const MAX_SOURCES: usize = 8;

/// Unanswered questions in a row after which the revision is given up. It is
/// taken up again with the next announcement.
const MAX_FAILURES: u32 = 12;

/// A part that was asked for.
#[derive(Debug)]
struct Asked {
    source: InstanceId,
    /// When another source is asked.
    until: Timestamp,
    /// Whether the source answered that it has no bytes to spare.
    busy: bool,
    buf: BytesMut,
}

/// A question to a peer.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) to: InstanceId,
    pub(crate) digest: Digest,
    pub(crate) offset: u64,
}

/// A revision that is being collected.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) revision: Revision,
    pub(crate) digest: Digest,
    pub(crate) manifest: Option<Manifest>,
    /// Whether the files are read from the service rather than from peers.
    pub(crate) from_service: bool,
    /// The file that is being read from the service.
    pub(crate) reading: Option<FileRef>,
    /// The peer that gave the last part.
    pub(crate) last_source: Option<InstanceId>,
    sources: VecDeque<InstanceId>,
    asked: BTreeMap<Digest, Asked>,
    failures: u32,
}

impl Target {
    pub(crate) fn from_peer(revision: Revision, digest: Digest, source: InstanceId) -> Self {
        Self {
            revision,
            digest,
            manifest: None,
            from_service: false,
            reading: None,
            last_source: None,
            sources: VecDeque::from([source]),
            asked: BTreeMap::new(),
            failures: 0,
        }
    }

    pub(crate) fn from_service(revision: Revision, digest: Digest, manifest: Manifest) -> Self {
        Self {
            revision,
            digest,
            manifest: Some(manifest),
            from_service: true,
            reading: None,
            last_source: None,
            sources: VecDeque::new(),
            asked: BTreeMap::new(),
            failures: 0,
        }
    }

    pub(crate) fn add_source(&mut self, source: InstanceId) {
        if !self.sources.contains(&source) && self.sources.len() < MAX_SOURCES {
            self.sources.push_back(source);
        }
    }

    pub(crate) fn drop_source(&mut self, source: &InstanceId) {
        self.sources.retain(|other| other != source);
        self.asked.retain(|_, asked| asked.source != *source);
    }

    pub(crate) fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Whether it is given up.
    pub(crate) fn is_hopeless(&self) -> bool {
        !self.from_service && (self.sources.is_empty() || self.failures >= MAX_FAILURES)
    }

    /// Files that are not held yet.
    pub(crate) fn missing<'a>(&'a self, store: &'a Store) -> impl Iterator<Item = &'a FileRef> {
        let files = self.manifest.as_ref().map_or(&[][..], |m| m.files());
        let mut seen = BTreeSet::new();
        let files = files.iter().filter(move |f| seen.insert(f.digest));
        files.filter(|f| store.get(&f.digest).is_none())
    }

    pub(crate) fn is_complete(&self, store: &Store) -> bool {
        self.manifest.is_some() && self.missing(store).next().is_none()
    }

    /// Forgets what was asked for, after a pause.
    pub(crate) fn reset(&mut self) {
        self.asked.clear();
    }

    /// A source has no bytes to spare for now. What was received stays, and
    /// another source is asked for the rest.
    pub(crate) fn wait(&mut self, now: Timestamp, digest: &Digest, wait: Duration) {
        if let Some(asked) = self.asked.get_mut(digest) {
            asked.until = now + wait;
            asked.busy = true;
        }
    }

    /// The questions to peers that are due.
    pub(crate) fn step(
        &mut self,
        now: Timestamp,
        timeout: Duration,
        store: &Store,
    ) -> Vec<Question> {
        if self.from_service {
            return Vec::new();
        }
        let until = now + timeout;
        let mut questions = self.repeat_late(now, until);
        let wanted: Vec<Digest> = match self.manifest {
            None => vec![self.digest],
            Some(_) => self.missing(store).map(|f| f.digest).take(WINDOW).collect(),
        };
        for digest in wanted {
            if self.asked.len() >= WINDOW || self.asked.contains_key(&digest) {
                continue;
            }
            questions.extend(self.ask(until, digest, BytesMut::new()));
        }
        questions
    }

    /// Asks the next source where one does not answer.
    fn repeat_late(&mut self, now: Timestamp, until: Timestamp) -> Vec<Question> {
        let late = self.asked.iter().filter(|(_, a)| now >= a.until);
        let late: Vec<Digest> = late.map(|(digest, _)| *digest).collect();
        let mut questions = Vec::new();
        for digest in late {
            if let Some(asked) = self.asked.remove(&digest) {
                self.failures += u32::from(!asked.busy);
                let question = self.ask(until, digest, asked.buf);
                let second = question.as_ref().and_then(|q| self.ask_also(q));
                questions.extend(question);
                questions.extend(second);
            }
        }
        questions
    }

    /// Repeats a late question to one more source. Whichever answers first
    /// counts.
    fn ask_also(&self, question: &Question) -> Option<Question> {
        let source = self.sources.front().filter(|s| **s != question.to)?;
        Some(Question {
            to: source.clone(),
            ..*question
        })
    }

    fn ask(&mut self, until: Timestamp, digest: Digest, buf: BytesMut) -> Option<Question> {
        let source = self.sources.front()?.clone();
        self.sources.rotate_left(1);
        let offset = buf.len() as u64;
        let asked = Asked {
            source: source.clone(),
            until,
            busy: false,
            buf,
        };
        self.asked.insert(digest, asked);
        Some(Question {
            to: source,
            digest,
            offset,
        })
    }

    /// Takes a part. Returns the whole once its digest is right, and the
    /// question for the next part.
    pub(crate) fn take_chunk(
        &mut self,
        until: Timestamp,
        from: &InstanceId,
        digest: Digest,
        (offset, total): (u64, u64),
        bytes: &Bytes,
    ) -> (Option<Bytes>, Option<Question>) {
        let Some(asked) = self.asked.get_mut(&digest) else {
            return (None, None);
        };
        let end = offset + bytes.len() as u64;
        let fits = end <= total && total <= MAX_FILE_BYTES && bytes.len() <= MAX_CHUNK_BYTES;
        let advances = !bytes.is_empty() || total == 0;
        if asked.buf.len() as u64 != offset || !fits || !advances {
            return (None, None);
        }
        asked.buf.extend_from_slice(bytes);
        asked.until = until;
        asked.busy = false;
        self.failures = 0;
        self.last_source = Some(from.clone());
        if end < total {
            let question = Question {
                to: asked.source.clone(),
                digest,
                offset: end,
            };
            return (None, Some(question));
        }
        let whole = self.asked.remove(&digest).map(|a| a.buf.freeze());
        let whole = whole.filter(|buf| Digest::of(buf) == digest);
        if whole.is_none() {
            // Damaged or of another content: not from this peer again.
            self.drop_source(from);
        }
        (whole, None)
    }
}
