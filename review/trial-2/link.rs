//! The links of one daemon to a backend server, which can be cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::net::spawn;

/// An address whose connections are passed on to a server.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            target,
            is_cut: Arc::default(),
            streams: Arc::default(),
        };
        let serving = link.clone();
        spawn(move || serving.listen(Some(listener)));
        link
    }

    /// Ends all connections and refuses new ones, or accepts them again.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        if is_cut {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn listen(self, mut listener: Option<TcpListener>) {
        loop {
            if self.is_cut.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().map(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept()
            });
            match accepted {
                Some(Ok((stream, _))) => self.connect(stream),
                _ => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn connect(&self, stream: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target) else {
            return;
        };
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let _ = server.set_nodelay(true);
        let ends = [stream.try_clone(), server.try_clone()];
        let [Ok(stream_out), Ok(server_out)] = ends else {
            return;
        };
        if let (Ok(a), Ok(b)) = (stream.try_clone(), server.try_clone()) {
            self.streams.lock().unwrap().extend([a, b]);
        }
        spawn(move || copy(stream, server_out));
        spawn(move || copy(server, stream_out));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    while let Ok(len) = from.read(&mut bytes) {
        if len == 0 || to.write_all(&bytes[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
