//! Credit-based flow control of one link: the number of sub-requests that a sender
//! has outstanding is limited by the credit that the receiver granted.

/// Maximum credit that a sender accumulates; grants beyond it are ignored.
const MAX_CREDITS: u32 = 1 << 20;

/// The peer sent more sub-requests than its credit allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("peer sent {sent} sub-requests but has credit for only {credit}")]
pub struct CreditOverrun {
    /// Sub-requests received.
    pub sent: u32,
    /// Remaining credit of the peer.
    pub credit: u32,
}

/// Flow control in both directions of one link.
///
/// An [`Execute`](crate::Execute) or [`ForwardExecute`](crate::ForwardExecute)
/// counts as one sub-request, a [`Search`](crate::Search) as one per part. A
/// search with more parts than [`Credits::available`] must be split: credit for all
/// of them may never become available at once, because small grants are deferred.
///
/// ```
/// use jasminepond_wire::Credits;
///
/// let mut us = Credits::new(8);
/// let mut peer = Credits::new(8);
/// peer.granted(us.initial_grant());
/// assert!(peer.try_send(6));
/// us.received(6).unwrap();
/// assert!(!peer.try_send(6));
/// let grant = us.completed(6).unwrap();
/// peer.granted(grant);
/// assert!(peer.try_send(6));
/// ```
#[derive(Debug, Clone)]
pub struct Credits {
    /// Sub-requests that we may still send.
    available: u32,
    /// Sub-requests that the peer may have outstanding.
    window: u32,
    /// Sub-requests that the peer may still send.
    granted: u32,
    /// Sub-requests of the peer that are not completed yet.
    outstanding: u32,
}

impl Credits {
    /// Creates the state of a link on which the peer may have `window` sub-requests
    /// outstanding.
    pub fn new(window: u32) -> Self {
        Self {
            available: 0,
            window: window.clamp(1, MAX_CREDITS),
            granted: 0,
            outstanding: 0,
        }
    }

    /// Returns the first grant, to be sent as [`Frame::Credit`](crate::Frame::Credit)
    /// once the handshake is complete.
    #[must_use]
    pub fn initial_grant(&mut self) -> u32 {
        self.grant(1).unwrap_or(0)
    }

    /// Records that the peer granted credit for `n` more sub-requests.
    pub fn granted(&mut self, n: u32) {
        self.available = self.available.saturating_add(n).min(MAX_CREDITS);
    }

    /// Number of sub-requests that may be sent now.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Uses credit for `n` sub-requests. Returns `false` and uses none if there is not
    /// enough.
    #[must_use]
    pub fn try_send(&mut self, n: u32) -> bool {
        match self.available.checked_sub(n) {
            Some(left) => {
                self.available = left;
                true
            }
            None => false,
        }
    }

    /// Records that the peer sent `n` sub-requests.
    ///
    /// # Errors
    ///
    /// The peer had less credit. The link must be closed.
    pub fn received(&mut self, n: u32) -> Result<(), CreditOverrun> {
        let Some(left) = self.granted.checked_sub(n) else {
            return Err(CreditOverrun {
                sent: n,
                credit: self.granted,
            });
        };
        self.granted = left;
        self.outstanding += n;
        Ok(())
    }

    /// Records that `n` of the peer's sub-requests are complete. Returns a grant to
    /// send once it is at least a quarter of the window, to limit the number of
    /// frames.
    #[must_use]
    pub fn completed(&mut self, n: u32) -> Option<u32> {
        self.outstanding = self.outstanding.saturating_sub(n);
        self.grant(self.window.div_ceil(4))
    }

    /// Changes the window. Returns a grant to send if the window grew; a smaller
    /// window takes effect as sub-requests complete.
    #[must_use]
    pub fn set_window(&mut self, window: u32) -> Option<u32> {
        self.window = window.clamp(1, MAX_CREDITS);
        self.grant(1)
    }

    /// Grants the credit that is missing to a full window, if it is at least `min`.
    fn grant(&mut self, min: u32) -> Option<u32> {
        let missing = self
            .window
            .saturating_sub(self.granted.saturating_add(self.outstanding));
        if missing < min {
            return None;
        }
        self.granted += missing;
        Some(missing)
    }
}
