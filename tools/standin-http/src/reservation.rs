use std::{io, net::SocketAddr};

use compio::net::TcpSocket;

/// A TCP port that stays reserved while nothing listens on it.
///
/// A stand-in that is down closes its listener. Without a reservation the system
/// may give the port to another program in the meantime, whose responses would then
/// be taken for the stand-in's.
#[derive(Debug)]
pub struct Reservation {
    address: SocketAddr,
    /// Bound, but never listening: connections to it are refused, and a listener
    /// with `SO_REUSEADDR` can be bound beside it.
    _socket: TcpSocket,
}

impl Reservation {
    /// Reserves `address`; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4().await?,
            SocketAddr::V6(_) => TcpSocket::new_v6().await?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address).await?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
