//! Flow control of one link: a sender has at most the credited number of
//! sub-requests outstanding.

/// Largest number of credits held at once; a peer that grants more gains nothing.
const MAX_CREDITS: u32 = 1 << 20;

/// The peer sent more sub-requests than it had credit for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("peer sent {sent} sub-requests with credit for {credit}")]
pub struct CreditOverrun {
    /// Sub-requests received.
    pub sent: u32,
    /// Credit that the peer had left.
    pub credit: u32,
}

/// Flow control in both directions of one link.
///
/// An [`Execute`](crate::Execute) or [`ForwardExecute`](crate::ForwardExecute)
/// counts as one sub-request, a [`Search`](crate::Search) as one per part. A
/// search with more parts than [`Credits::available`] is split: waiting for
/// credit for all of them may last for ever, as small grants are held back.
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
    /// What we may still send.
    available: u32,
    /// What the peer may have outstanding.
    window: u32,
    /// What the peer may still send.
    extended: u32,
    /// What the peer has outstanding with us.
    outstanding: u32,
}

impl Credits {
    /// A link on which the peer may have `window` sub-requests outstanding.
    pub fn new(window: u32) -> Self {
        Self {
            available: 0,
            window: window.clamp(1, MAX_CREDITS),
            extended: 0,
            outstanding: 0,
        }
    }

    /// First grant, to be sent as [`Frame::Credit`](crate::Frame::Credit) once
    /// the handshake is complete.
    #[must_use]
    pub fn initial_grant(&mut self) -> u32 {
        self.grant(1).unwrap_or(0)
    }

    /// The peer granted `n` more.
    pub fn granted(&mut self, n: u32) {
        self.available = self.available.saturating_add(n).min(MAX_CREDITS);
    }

    /// What we may send now.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Takes credit for `n` sub-requests, all or none.
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

    /// The peer sent `n` sub-requests.
    ///
    /// # Errors
    ///
    /// The peer had less credit. The link is to be closed.
    pub fn received(&mut self, n: u32) -> Result<(), CreditOverrun> {
        let Some(left) = self.extended.checked_sub(n) else {
            return Err(CreditOverrun {
                sent: n,
                credit: self.extended,
            });
        };
        self.extended = left;
        self.outstanding += n;
        Ok(())
    }

    /// `n` of the peer's sub-requests are complete. Returns a grant to send when
    /// it is worth a frame: at least a quarter of the window.
    #[must_use]
    pub fn completed(&mut self, n: u32) -> Option<u32> {
        self.outstanding = self.outstanding.saturating_sub(n);
        self.grant(self.window.div_ceil(4))
    }

    /// Changes the window. Returns a grant to send if it grew; a smaller window
    /// takes effect as sub-requests complete.
    #[must_use]
    pub fn set_window(&mut self, window: u32) -> Option<u32> {
        self.window = window.clamp(1, MAX_CREDITS);
        self.grant(1)
    }

    /// Tops the peer up to the window if at least `least` is missing.
    fn grant(&mut self, least: u32) -> Option<u32> {
        let missing = self
            .window
            .saturating_sub(self.extended.saturating_add(self.outstanding));
        if missing < least {
            return None;
        }
        self.extended += missing;
        Some(missing)
    }
}
