//! Mutual authentication of a peer link.

use jasminepond_types::{Incarnation, InstanceId};

use crate::{Frame, Hello, KeyRing, Proof, Purpose};

/// Major version of the protocol. Peers with another major version are rejected.
pub const MAJOR: u16 = 1;

/// Minor version of the protocol, incremented by compatible additions.
pub const MINOR: u16 = 0;

/// Length of the random nonce that each side sends.
pub const NONCE_BYTES: usize = 16;

/// Role of a daemon on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Opened the link.
    Dialer,
    /// Accepted the link.
    Acceptor,
}

impl Role {
    const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }

    const fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer  ",
            Self::Acceptor => b"acceptor",
        }
    }
}

/// The local side of a link.
#[derive(Debug, Clone)]
pub struct LocalPeer {
    /// Role of this daemon on the link.
    pub role: Role,
    /// Instance of this daemon.
    pub instance: InstanceId,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Random bytes, generated for this link only.
    pub nonce: [u8; NONCE_BYTES],
    /// For a dialer: the instance that it expects at the address.
    pub expect: Option<InstanceId>,
}

/// The authenticated remote side of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Instance of the peer.
    pub instance: InstanceId,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Minor protocol version of the peer.
    pub minor: u16,
}

/// The handshake failed and the link must be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The peer uses another major version.
    #[error("peer has major protocol version {0}, this daemon has {MAJOR}")]
    Major(u16),
    /// The peer claims to be this instance, or reflected our hello.
    #[error("peer claims to be this instance")]
    OwnInstance,
    /// The dialer reached another instance than expected.
    #[error("unexpected instance {0} at the address")]
    OtherInstance(InstanceId),
    /// The peer reflected our proof.
    #[error("peer sent our own proof back")]
    Reflected,
    /// The proof matches none of the known keys.
    #[error("proof does not match any known key")]
    UnknownKey,
    /// A frame arrived out of order.
    #[error("unexpected frame during the handshake")]
    UnexpectedFrame,
}

/// The next step of a handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandshakeStep {
    /// Send this proof and wait for the next frame.
    SendProof(Proof),
    /// The link is established.
    Established(Peer),
    /// Close the link.
    Reject(HandshakeError),
}

#[derive(Debug)]
enum State {
    AwaitHello,
    AwaitProof { theirs: Hello, ours: Proof },
    Closed,
}

/// Handshake of one link: both sides send a hello, then a proof.
///
/// The proof is a MAC over the sender's role, both nonces, instances,
/// incarnations and versions, so that it is valid only on this link and in this
/// direction.
///
/// ```
/// use jasminepond_wire::{Frame, Handshake, KeyRing, LocalPeer, HandshakeStep, Role};
///
/// let keys = KeyRing::new(["some-shared-key-1".parse().unwrap()]).unwrap();
/// let side = |role, name: &str, nonce| {
///     let local = LocalPeer {
///         role,
///         instance: name.parse().unwrap(),
///         incarnation: Default::default(),
///         nonce: [nonce; 16],
///         expect: None,
///     };
///     Handshake::new(keys.clone(), local)
/// };
/// let (mut a, a_hello) = side(Role::Dialer, "a", 1);
/// let (mut b, b_hello) = side(Role::Acceptor, "b", 2);
/// let HandshakeStep::SendProof(a_proof) = a.receive(Frame::Hello(b_hello)) else { panic!() };
/// let HandshakeStep::SendProof(_) = b.receive(Frame::Hello(a_hello)) else { panic!() };
/// assert!(matches!(b.receive(Frame::Proof(a_proof)), HandshakeStep::Established(_)));
/// ```
#[derive(Debug)]
pub struct Handshake {
    keys: KeyRing,
    local: LocalPeer,
    state: State,
}

impl Handshake {
    /// Starts a handshake. The returned hello must be sent at once.
    pub fn new(keys: KeyRing, local: LocalPeer) -> (Self, Hello) {
        let hello = hello(&local);
        let handshake = Self {
            keys,
            local,
            state: State::AwaitHello,
        };
        (handshake, hello)
    }

    /// Handles a frame of the peer. Once the link is established or rejected, all
    /// further frames are rejected.
    pub fn receive(&mut self, frame: Frame) -> HandshakeStep {
        let state = std::mem::replace(&mut self.state, State::Closed);
        let result = match (state, frame) {
            (State::AwaitHello, Frame::Hello(theirs)) => self.on_hello(theirs),
            (State::AwaitProof { theirs, ours }, Frame::Proof(proof)) => {
                self.on_proof(theirs, &ours, &proof)
            }
            _ => Err(HandshakeError::UnexpectedFrame),
        };
        result.unwrap_or_else(HandshakeStep::Reject)
    }

    fn on_hello(&mut self, theirs: Hello) -> Result<HandshakeStep, HandshakeError> {
        if theirs.major != MAJOR {
            return Err(HandshakeError::Major(theirs.major));
        }
        if theirs.instance == self.local.instance || theirs.nonce == self.local.nonce {
            return Err(HandshakeError::OwnInstance);
        }
        if self
            .local
            .expect
            .as_ref()
            .is_some_and(|e| *e != theirs.instance)
        {
            return Err(HandshakeError::OtherInstance(theirs.instance));
        }
        let message = transcript(self.local.role, &hello(&self.local), &theirs);
        let ours = Proof {
            mac: self.keys.sign(Purpose::Link, &message),
        };
        self.state = State::AwaitProof {
            theirs,
            ours: ours.clone(),
        };
        Ok(HandshakeStep::SendProof(ours))
    }

    fn on_proof(
        &self,
        theirs: Hello,
        ours: &Proof,
        proof: &Proof,
    ) -> Result<HandshakeStep, HandshakeError> {
        if ours == proof {
            return Err(HandshakeError::Reflected);
        }
        let message = transcript(self.local.role.other(), &theirs, &hello(&self.local));
        if !self.keys.verify(Purpose::Link, &message, &proof.mac) {
            return Err(HandshakeError::UnknownKey);
        }
        Ok(HandshakeStep::Established(Peer {
            instance: theirs.instance,
            incarnation: theirs.incarnation,
            minor: theirs.minor,
        }))
    }
}

fn hello(local: &LocalPeer) -> Hello {
    Hello {
        major: MAJOR,
        minor: MINOR,
        instance: local.instance.clone(),
        incarnation: local.incarnation,
        nonce: local.nonce,
    }
}

/// The message that a proof authenticates: the signer's role, then the signer's and
/// the verifier's hello. The only field of variable length is prefixed with its
/// length, so that the encoding is unambiguous.
fn transcript(signer: Role, first: &Hello, second: &Hello) -> Vec<u8> {
    let mut message = signer.label().to_vec();
    for hello in [first, second] {
        let instance = hello.instance.as_str().as_bytes();
        message.extend_from_slice(&hello.major.to_be_bytes());
        message.extend_from_slice(&hello.minor.to_be_bytes());
        message.extend_from_slice(&hello.nonce);
        message.extend_from_slice(&hello.incarnation.get().to_be_bytes());
        message.extend_from_slice(&(instance.len() as u64).to_be_bytes());
        message.extend_from_slice(instance);
    }
    message
}
