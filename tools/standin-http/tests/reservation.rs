//! A stand-in that is down must refuse connections, keep its port and be able to listen
//! again. Without the reservation, the server of another test was given the same port.

use std::{
    io::ErrorKind,
    net::{TcpListener, TcpStream},
};

use standin_http::Reservation;

/// Number of other sockets bound while the port is reserved.
const OTHERS: usize = 1000;

#[test]
fn a_reserved_port_refuses_connections_and_is_not_given_away() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let any_port = "127.0.0.1:0".parse().unwrap();
        let reservation = Reservation::new(any_port).await.unwrap();
        let address = reservation.address();
        for _ in 0..2 {
            let refused = TcpStream::connect(address).unwrap_err();
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
            let others: Vec<_> = (0..OTHERS)
                .map(|_| TcpListener::bind(any_port).unwrap())
                .collect();
            let taken = others.iter().any(|o| o.local_addr().unwrap() == address);
            assert!(!taken, "the port was given away");
            let listener = TcpListener::bind(address).unwrap();
            TcpStream::connect(address).unwrap();
            drop(listener);
        }
    });
}
