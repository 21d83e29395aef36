//! Finds requests that end the backend servers that run them.
//!
//! A [`Fingerprint`] identifies equal requests, whose ids differ.

mod fingerprint;

pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestParts};
