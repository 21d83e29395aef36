//! Stand-in for a backend server that answers each request and counts what it ran.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

use crate::net::{note, read_message, respond, spawn};

/// A server of a service whose requests go to one server.
pub struct Desk {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
}

impl Desk {
    pub fn start(id: &str, service: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let desk = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
        });
        let serving = desk.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let desk = serving.clone();
                spawn(move || desk.serve(stream));
            }
        });
        desk
    }

    pub fn entry(&self) -> String {
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"a","Version":"v1","Slots":4,"State":"ready","WarmupLeftMs":0,"Sequence":1,"born":1780000000000}}"#,
            self.service, self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let id = request.header("x-request-id").unwrap_or_default();
            let echo = format!("X-Request-Id: {id}\r\n");
            let answered = if request.header("x-expect-instance") != Some(&*self.id) {
                let headers = format!("{echo}X-Not-Executed: 1\r\n");
                respond(&mut out, 421, &headers, b"")
            } else {
                let len = request.body.len();
                note(&format!("{} runs request {id} with {len} bytes", self.id));
                let stamp = format!("{}.{}.{id}", self.service, self.id);
                let headers = format!("{echo}X-Response-Stamp: {stamp}\r\n");
                respond(&mut out, 200, &headers, b"ok")
            };
            if !answered {
                return;
            }
        }
    }
}
