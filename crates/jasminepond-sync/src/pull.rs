//! Fetches one revision.

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

/// Maximum number of files requested concurrently.
const MAX_PENDING: usize = 4;

/// Maximum number of peers recorded as sources of the revision.
const MAX_SOURCES: usize = 8;

/// Consecutive requests without a response after which the revision is
/// abandoned. The next announcement starts it again.
const MAX_FAILURES: u32 = 12;

/// A chunk that has been requested and not received yet.
#[derive(Debug)]
struct PendingRequest {
    source: InstanceId,
    /// When the request is sent to another source.
    deadline: Timestamp,
    /// Whether the source responded that its send budget is used up.
    busy: bool,
    buf: BytesMut,
}

/// A request to a peer for a chunk.
#[derive(Debug)]
pub(crate) struct ChunkRequest {
    pub(crate) to: InstanceId,
    pub(crate) digest: Digest,
    pub(crate) offset: u64,
}

/// A revision that is being fetched.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) revision: Revision,
    pub(crate) digest: Digest,
    pub(crate) manifest: Option<Manifest>,
    /// Whether the files are read from the service rather than from peers.
    pub(crate) from_service: bool,
    /// The file that is being read from the service.
    pub(crate) fetching: Option<FileRef>,
    /// The peer that sent the last chunk.
    pub(crate) last_source: Option<InstanceId>,
    sources: VecDeque<InstanceId>,
    pending: BTreeMap<Digest, PendingRequest>,
    failures: u32,
}

impl Target {
    pub(crate) fn from_peer(revision: Revision, digest: Digest, source: InstanceId) -> Self {
        Self {
            revision,
            digest,
            manifest: None,
            from_service: false,
            fetching: None,
            last_source: None,
            sources: VecDeque::from([source]),
            pending: BTreeMap::new(),
            failures: 0,
        }
    }

    pub(crate) fn from_service(revision: Revision, digest: Digest, manifest: Manifest) -> Self {
        Self {
            revision,
            digest,
            manifest: Some(manifest),
            from_service: true,
            fetching: None,
            last_source: None,
            sources: VecDeque::new(),
            pending: BTreeMap::new(),
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
        self.pending.retain(|_, pending| pending.source != *source);
    }

    pub(crate) fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Whether no source is left or too many requests got no response.
    pub(crate) fn is_abandoned(&self) -> bool {
        !self.from_service && (self.sources.is_empty() || self.failures >= MAX_FAILURES)
    }

    /// Files that are not in the store yet.
    pub(crate) fn missing<'a>(&'a self, store: &'a Store) -> impl Iterator<Item = &'a FileRef> {
        let files = self.manifest.as_ref().map_or(&[][..], |m| m.files());
        let mut seen = BTreeSet::new();
        let files = files.iter().filter(move |f| seen.insert(f.digest));
        files.filter(|f| store.get(&f.digest).is_none())
    }

    pub(crate) fn is_complete(&self, store: &Store) -> bool {
        self.manifest.is_some() && self.missing(store).next().is_none()
    }

    /// Drops all pending requests, after a pause of the process.
    pub(crate) fn reset(&mut self) {
        self.pending.clear();
    }

    /// The source has used up its send budget. After `wait` the rest is requested
    /// from another source; chunks already received are kept.
    pub(crate) fn defer(&mut self, now: Timestamp, digest: &Digest, wait: Duration) {
        if let Some(pending) = self.pending.get_mut(digest) {
            pending.deadline = now + wait;
            pending.busy = true;
        }
    }

    /// Returns the requests to peers that are due.
    pub(crate) fn due_requests(
        &mut self,
        now: Timestamp,
        timeout: Duration,
        store: &Store,
    ) -> Vec<ChunkRequest> {
        if self.from_service {
            return Vec::new();
        }
        let deadline = now + timeout;
        let mut requests = self.retry_late(now, deadline);
        let wanted: Vec<Digest> = match self.manifest {
            None => vec![self.digest],
            Some(_) => self
                .missing(store)
                .map(|f| f.digest)
                .take(MAX_PENDING)
                .collect(),
        };
        for digest in wanted {
            if self.pending.len() >= MAX_PENDING || self.pending.contains_key(&digest) {
                continue;
            }
            requests.extend(self.request(deadline, digest, BytesMut::new()));
        }
        requests
    }

    /// Sends each request whose deadline has passed to the next source.
    fn retry_late(&mut self, now: Timestamp, deadline: Timestamp) -> Vec<ChunkRequest> {
        let late = self.pending.iter().filter(|(_, a)| now >= a.deadline);
        let late: Vec<Digest> = late.map(|(digest, _)| *digest).collect();
        let mut requests = Vec::new();
        for digest in late {
            if let Some(pending) = self.pending.remove(&digest) {
                self.failures += u32::from(!pending.busy);
                let request = self.request(deadline, digest, pending.buf);
                let second = request.as_ref().and_then(|q| self.request_also(q));
                requests.extend(request);
                requests.extend(second);
            }
        }
        requests
    }

    /// Duplicates a retried request to one more source. The first response is
    /// used.
    fn request_also(&self, request: &ChunkRequest) -> Option<ChunkRequest> {
        let source = self.sources.front().filter(|s| **s != request.to)?;
        Some(ChunkRequest {
            to: source.clone(),
            ..*request
        })
    }

    fn request(
        &mut self,
        deadline: Timestamp,
        digest: Digest,
        buf: BytesMut,
    ) -> Option<ChunkRequest> {
        let source = self.sources.front()?.clone();
        self.sources.rotate_left(1);
        let offset = buf.len() as u64;
        let pending = PendingRequest {
            source: source.clone(),
            deadline,
            busy: false,
            buf,
        };
        self.pending.insert(digest, pending);
        Some(ChunkRequest {
            to: source,
            digest,
            offset,
        })
    }

    /// Adds a chunk. Returns the whole content once it is complete and matches its
    /// digest, or else the request for the next chunk.
    pub(crate) fn take_chunk(
        &mut self,
        deadline: Timestamp,
        from: &InstanceId,
        digest: Digest,
        (offset, total): (u64, u64),
        bytes: &Bytes,
    ) -> (Option<Bytes>, Option<ChunkRequest>) {
        let Some(pending) = self.pending.get_mut(&digest) else {
            return (None, None);
        };
        let end = offset + bytes.len() as u64;
        let fits = end <= total && total <= MAX_FILE_BYTES && bytes.len() <= MAX_CHUNK_BYTES;
        let advances = !bytes.is_empty() || total == 0;
        if pending.buf.len() as u64 != offset || !fits || !advances {
            return (None, None);
        }
        pending.buf.extend_from_slice(bytes);
        pending.deadline = deadline;
        pending.busy = false;
        self.failures = 0;
        self.last_source = Some(from.clone());
        if end < total {
            let request = ChunkRequest {
                to: pending.source.clone(),
                digest,
                offset: end,
            };
            return (None, Some(request));
        }
        let whole = self.pending.remove(&digest).map(|a| a.buf.freeze());
        let whole = whole.filter(|buf| Digest::of(buf) == digest);
        if whole.is_none() {
            // The content is damaged or different, so this peer is not used again.
            self.drop_source(from);
        }
        (whole, None)
    }
}
