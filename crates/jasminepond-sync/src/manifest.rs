//! The list of files of one revision and its canonical encoding.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::Digest;

/// Maximum size of a file, which is the largest value that the configuration
/// service stores.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// Maximum number of files in one revision. Keeps the encoded list below
/// [`MAX_FILE_BYTES`].
pub const MAX_FILES: usize = 4_096;

/// Maximum length of a file name in bytes.
const MAX_NAME_BYTES: usize = 200;

/// One file of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileRef {
    /// Name within the folder.
    pub name: Arc<str>,
    /// Digest of the content.
    pub digest: Digest,
    /// Size in bytes.
    pub size: u64,
}

/// Why a list of files is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// A file is too large.
    #[error("file {0:?} has {1} bytes, the limit is {MAX_FILE_BYTES}")]
    FileTooLarge(Arc<str>, u64),
    /// Too many files.
    #[error("{0} files, the limit is {MAX_FILES}")]
    TooManyFiles(usize),
    /// A name is empty, too long or occurs twice.
    #[error("file name {0:?} is empty, longer than {MAX_NAME_BYTES} bytes or repeated")]
    Name(Arc<str>),
    /// The encoded list cannot be decoded.
    #[error("the list of files is damaged")]
    Damaged,
}

/// The files of one revision, sorted by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Manifest {
    files: Vec<FileRef>,
}

impl Manifest {
    pub(crate) fn new(mut files: Vec<FileRef>) -> Result<Self, ManifestError> {
        files.sort();
        if files.len() > MAX_FILES {
            return Err(ManifestError::TooManyFiles(files.len()));
        }
        for (i, file) in files.iter().enumerate() {
            if file.size > MAX_FILE_BYTES {
                return Err(ManifestError::FileTooLarge(file.name.clone(), file.size));
            }
            let repeated = i > 0 && files[i - 1].name == file.name;
            let length = file.name.len();
            if length == 0 || length > MAX_NAME_BYTES || repeated {
                return Err(ManifestError::Name(file.name.clone()));
            }
        }
        Ok(Self { files })
    }

    pub(crate) fn files(&self) -> &[FileRef] {
        &self.files
    }

    /// Canonical encoding: equal lists have equal encodings, so the digest of the
    /// encoding identifies the content of a revision.
    pub(crate) fn encode(&self) -> Bytes {
        let mut buf = BytesMut::new();
        for file in &self.files {
            buf.put_slice(file.digest.as_bytes());
            buf.put_u32(u32::try_from(file.size).unwrap_or(u32::MAX));
            buf.put_u8(u8::try_from(file.name.len()).unwrap_or(u8::MAX));
            buf.put_slice(file.name.as_bytes());
        }
        buf.freeze()
    }

    pub(crate) fn decode(mut buf: &[u8]) -> Result<Self, ManifestError> {
        let mut files = Vec::new();
        while !buf.is_empty() {
            let file = decode_file(&mut buf).ok_or(ManifestError::Damaged)?;
            files.push(file);
        }
        Self::new(files)
    }
}

fn decode_file(buf: &mut &[u8]) -> Option<FileRef> {
    let (digest, rest) = buf.split_first_chunk::<32>()?;
    *buf = rest;
    let size = buf.try_get_u32().ok()?;
    let length = buf.try_get_u8().ok()?;
    let (name, rest) = buf.split_at_checked(length.into())?;
    *buf = rest;
    Some(FileRef {
        name: std::str::from_utf8(name).ok()?.into(),
        digest: Digest::from_bytes(*digest),
        size: size.into(),
    })
}
