//! The links of one daemon to backend servers, which can be cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc,
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
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            target,
            is_cut: Arc::default(),
        };
        let serving = link.clone();
        spawn(move || serving.listen(Some(listener)));
        link
    }

    /// While the link is cut, new connections are refused, and an open one is reset once the
    /// daemon sends something over it. Nothing reaches either side.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
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
                _ => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn connect(&self, daemon: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target) else {
            return;
        };
        let _ = (daemon.set_nonblocking(false), daemon.set_nodelay(true));
        let _ = server.set_nodelay(true);
        let (Ok(to_daemon), Ok(to_server)) = (daemon.try_clone(), server.try_clone()) else {
            return;
        };
        let (is_cut, is_cut_too) = (self.is_cut.clone(), self.is_cut.clone());
        spawn(move || copy_to_server(daemon, to_server, &is_cut));
        spawn(move || copy_to_daemon(server, to_daemon, &is_cut_too));
    }
}

fn copy_to_server(mut daemon: TcpStream, mut server: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(len) = daemon.read(&mut bytes) {
        if len == 0 {
            break;
        }
        if is_cut.load(Ordering::Relaxed) {
            reset_on_close(&daemon);
            // Ends the other direction, which holds the connection open as well.
            let _ = server.shutdown(Shutdown::Both);
            return;
        }
        if server.write_all(&bytes[..len]).is_err() {
            break;
        }
    }
    let _ = server.shutdown(Shutdown::Both);
    let _ = daemon.shutdown(Shutdown::Both);
}

fn copy_to_daemon(mut server: TcpStream, mut daemon: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(len) = server.read(&mut bytes) {
        if is_cut.load(Ordering::Relaxed) {
            // Lost on the way. The connection ends once the daemon uses it.
            return;
        }
        if len == 0 || daemon.write_all(&bytes[..len]).is_err() {
            break;
        }
    }
    let _ = daemon.shutdown(Shutdown::Both);
    let _ = server.shutdown(Shutdown::Both);
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

/// Makes the last close of a socket reset its connection.
fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    const LEN: u32 = size_of::<Linger>() as u32;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the value is a `struct linger` of the stated size, which lives during the call.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, LEN);
    }
}
