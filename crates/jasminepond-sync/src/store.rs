//! The files in effect, those still being collected, and the share of bytes
//! that may be sent.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use jasminepond_types::{Revision, Timestamp};

use crate::{Digest, manifest::Manifest};

/// One complete revision.
#[derive(Debug, Clone)]
pub(crate) struct Complete {
    pub(crate) revision: Revision,
    pub(crate) digest: Digest,
    pub(crate) manifest: Manifest,
    /// The content of every file, and the encoded list under its own digest.
    pub(crate) blobs: BTreeMap<Digest, Bytes>,
}

/// Everything held in memory.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// In effect at this daemon.
    pub(crate) current: Option<Complete>,
    /// Verified parts of a revision that is being collected.
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

    /// Puts a revision together of which every part is held.
    pub(crate) fn complete(
        &self,
        revision: Revision,
        digest: Digest,
        manifest: &Manifest,
    ) -> Option<Complete> {
        let mut blobs = BTreeMap::from([(digest, manifest.encode())]);
        for file in manifest.files() {
            blobs.insert(file.digest, self.get(&file.digest)?.clone());
        }
        Some(Complete {
            revision,
            digest,
            manifest: manifest.clone(),
            blobs,
        })
    }

    /// Drops collected parts that `manifest` does not need.
    pub(crate) fn keep_only(&mut self, manifest: &Manifest) {
        let needed: Vec<Digest> = manifest.files().iter().map(|f| f.digest).collect();
        self.pool.retain(|digest, _| needed.contains(digest));
    }
}

/// Bytes that may be sent: a rate with a reserve.
#[derive(Debug)]
pub(crate) struct Share {
    left: f64,
    at: Timestamp,
}

impl Share {
    pub(crate) fn new(burst: f64) -> Self {
        Self {
            left: burst,
            at: Timestamp::ZERO,
        }
    }

    /// Takes `bytes`, or returns how long to wait for them.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        bytes: usize,
        rate: f64,
        burst: f64,
    ) -> Result<(), Duration> {
        let earned = now.since(self.at).as_secs_f64() * rate;
        self.left = burst.min(self.left + earned);
        self.at = now;
        let bytes = bytes as f64;
        if bytes > self.left {
            return Err(Duration::from_secs_f64((bytes - self.left) / rate));
        }
        self.left -= bytes;
        Ok(())
    }
}
