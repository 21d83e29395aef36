//! Stores the files in effect and those being fetched, and limits the bytes sent
//! to peers.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use jasminepond_types::{Revision, Timestamp};

use crate::{Digest, manifest::Manifest};

/// One complete revision.
#[derive(Debug, Clone)]
pub(crate) struct CompleteRevision {
    pub(crate) revision: Revision,
    pub(crate) digest: Digest,
    pub(crate) manifest: Manifest,
    /// The content of every file, and the encoded list under its own digest.
    pub(crate) blobs: BTreeMap<Digest, Bytes>,
}

/// The file contents held in memory.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// The revision in effect at this daemon.
    pub(crate) current: Option<CompleteRevision>,
    /// Verified files of a revision that is being fetched.
    pub(crate) pool: BTreeMap<Digest, Bytes>,
}

impl Store {
    pub(crate) fn revision(&self) -> Revision {
        self.current.as_ref().map_or(Revision(0), |c| c.revision)
    }

    pub(crate) fn digest(&self) -> Option<Digest> {
        self.current.as_ref().map(|c| c.digest)
    }

    pub(crate) fn get(&self, digest: &Digest) -> Option<&Bytes> {
        let current = self.current.as_ref().and_then(|c| c.blobs.get(digest));
        current.or_else(|| self.pool.get(digest))
    }

    /// Assembles a revision, or returns `None` while a file is missing.
    pub(crate) fn assemble(
        &self,
        revision: Revision,
        digest: Digest,
        manifest: &Manifest,
    ) -> Option<CompleteRevision> {
        let mut blobs = BTreeMap::from([(digest, manifest.encode())]);
        for file in manifest.files() {
            blobs.insert(file.digest, self.get(&file.digest)?.clone());
        }
        Some(CompleteRevision {
            revision,
            digest,
            manifest: manifest.clone(),
            blobs,
        })
    }

    /// Drops files from the pool that `manifest` does not list.
    pub(crate) fn keep_only(&mut self, manifest: &Manifest) {
        let needed: Vec<Digest> = manifest.files().iter().map(|f| f.digest).collect();
        self.pool.retain(|digest, _| needed.contains(digest));
    }
}

/// Token bucket that limits the bytes sent to peers.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    pub(crate) fn new(burst: f64) -> Self {
        Self {
            tokens: burst,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Takes `bytes` tokens, or returns the time until enough are available.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        bytes: usize,
        rate: f64,
        burst: f64,
    ) -> Result<(), Duration> {
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = burst.min(self.tokens + earned);
        self.refilled_at = now;
        let bytes = bytes as f64;
        if bytes > self.tokens {
            return Err(Duration::from_secs_f64((bytes - self.tokens) / rate));
        }
        self.tokens -= bytes;
        Ok(())
    }
}
