//! Decides which revision of the configuration is in effect.

use std::{fmt, sync::Arc};

use jasminepond_types::Revision;

use crate::{Config, Digest, Files, Mistake, digest};

/// The revision in effect.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// The revision number assigned by the configuration service.
    pub revision: Revision,
    /// The digest of its files.
    pub digest: Digest,
    /// The validated configuration.
    pub config: Arc<Config>,
}

/// Why an offered revision was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalReason {
    /// The files have mistakes.
    Invalid(Vec<Mistake>),
    /// The same revision is in effect with different files.
    Conflict,
}

/// An offered revision that was refused. Shown in the status and in metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The offered revision.
    pub revision: Revision,
    /// The digest of the offered files.
    pub digest: Digest,
    /// Why it was refused.
    pub reason: RefusalReason,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} refused: ", self.revision)?;
        match &self.reason {
            RefusalReason::Conflict => f.write_str("the revision in effect has other files"),
            RefusalReason::Invalid(mistakes) => {
                write!(f, "{} mistakes", mistakes.len())?;
                mistakes
                    .first()
                    .map_or(Ok(()), |first| write!(f, ", first: {first}"))
            }
        }
    }
}

/// The outcome of offering a revision.
#[derive(Debug, Clone)]
pub enum OfferOutcome {
    /// The revision is now in effect.
    Accepted(Arc<Config>),
    /// A higher revision is in effect. Nothing changed.
    Older,
    /// The revision is already in effect with the same files.
    Same,
    /// The revision is already in effect with different files. Nothing changed.
    Conflict,
    /// The files have mistakes. Nothing changed.
    Invalid(Vec<Mistake>),
}

/// Decides which revision is in effect. The revision never decreases, and a
/// revision with a mistake in any file is refused as a whole.
///
/// ```
/// use jasminepond_config::{Acceptance, Files, OfferOutcome};
/// use jasminepond_types::Revision;
///
/// let mut acceptance = Acceptance::default();
/// let files = Files::from([("10.json".into(), b"{".to_vec())]);
/// assert!(matches!(acceptance.offer(Revision(7), &files), OfferOutcome::Invalid(_)));
/// assert!(acceptance.current().is_none());
/// assert_eq!(acceptance.last_refusal().unwrap().revision, Revision(7));
/// ```
#[derive(Debug, Default)]
pub struct Acceptance {
    current: Option<Accepted>,
    last_refusal: Option<Refusal>,
}

impl Acceptance {
    /// Offers all files of a revision.
    pub fn offer(&mut self, revision: Revision, files: &Files) -> OfferOutcome {
        let digest = digest(files);
        if let Some(current) = &self.current {
            if revision < current.revision {
                return OfferOutcome::Older;
            }
            if revision == current.revision {
                return self.offer_current_revision(revision, digest);
            }
        }
        if let Some(mistakes) = self.previous_mistakes(revision, digest) {
            return OfferOutcome::Invalid(mistakes);
        }
        match Config::from_files(files) {
            Ok(config) => self.accept(revision, digest, Arc::new(config)),
            Err(mistakes) => {
                let reason = RefusalReason::Invalid(mistakes.clone());
                self.last_refusal = Some(Refusal {
                    revision,
                    digest,
                    reason,
                });
                OfferOutcome::Invalid(mistakes)
            }
        }
    }

    /// The revision in effect; `None` until one is accepted.
    pub fn current(&self) -> Option<&Accepted> {
        self.current.as_ref()
    }

    /// The digest of the files in effect.
    pub fn digest(&self) -> Option<Digest> {
        self.current.as_ref().map(|accepted| accepted.digest)
    }

    /// The latest refusal; cleared once a revision at least as high is accepted.
    pub fn last_refusal(&self) -> Option<&Refusal> {
        self.last_refusal.as_ref()
    }

    fn offer_current_revision(&mut self, revision: Revision, digest: Digest) -> OfferOutcome {
        if self.digest() == Some(digest) {
            return OfferOutcome::Same;
        }
        let reason = RefusalReason::Conflict;
        self.last_refusal = Some(Refusal {
            revision,
            digest,
            reason,
        });
        OfferOutcome::Conflict
    }

    /// The mistakes found earlier if the latest refused offer was the same. Each
    /// renewed watch offers a refused revision again, so the result is reused.
    fn previous_mistakes(&self, revision: Revision, digest: Digest) -> Option<Vec<Mistake>> {
        let refusal = self.last_refusal.as_ref()?;
        if refusal.revision != revision || refusal.digest != digest {
            return None;
        }
        match &refusal.reason {
            RefusalReason::Invalid(mistakes) => Some(mistakes.clone()),
            RefusalReason::Conflict => None,
        }
    }

    fn accept(&mut self, revision: Revision, digest: Digest, config: Arc<Config>) -> OfferOutcome {
        let accepted = Accepted {
            revision,
            digest,
            config: Arc::clone(&config),
        };
        self.current = Some(accepted);
        if self
            .last_refusal
            .as_ref()
            .is_some_and(|refusal| refusal.revision <= revision)
        {
            self.last_refusal = None;
        }
        OfferOutcome::Accepted(config)
    }
}
