//! Forwarding of TCP connections.

use std::{collections::VecDeque, io, pin::pin, time::Instant};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep_until,
};
use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select, try_join},
};

use crate::route::{Direction, Link, Route};

/// Buffer size of one read.
const READ_SIZE: usize = 64 * 1024;

/// Chunks buffered per direction. When the buffer is full, reading stops and TCP
/// flow control slows the sender.
const MAX_BUFFERED_CHUNKS: usize = 64;

pub(crate) async fn listen(route: Route, listener: TcpListener) {
    loop {
        let stream = standin_http::accept(&listener).await;
        if let Some(link) = route.open_link() {
            compio::runtime::spawn(relay(route.clone(), link, stream)).detach();
        }
    }
}

async fn relay(route: Route, link: Link, stream: TcpStream) {
    let forwarding = async {
        // A blackholed connection must not become visible to the target.
        wait_while_blackholed(&route, &link, Direction::ToTarget).await;
        let target = TcpStream::connect(route.target()).await?;
        target.set_nodelay(true)?;
        let to_target = forward(
            &route,
            &link,
            Direction::ToTarget,
            stream.clone(),
            target.clone(),
        );
        let to_client = forward(
            &route,
            &link,
            Direction::ToClient,
            target.clone(),
            stream.clone(),
        );
        try_join(to_target, to_client).await
    };
    // An I/O error on either side closes both; there is no caller to report it to.
    let _ = select(pin!(forwarding), pin!(link.cut.cancelled())).await;
    route.close_link(&link);
}

/// Data read and the time at which to forward it. An empty chunk marks the end of
/// the stream.
type Chunk = (Instant, Vec<u8>);

async fn forward(
    route: &Route,
    link: &Link,
    direction: Direction,
    from: TcpStream,
    mut to: TcpStream,
) -> io::Result<()> {
    let mut chunks = VecDeque::<Chunk>::new();
    // The future of a read is kept until it completes: dropping it could lose bytes.
    let mut pending_read = Some(read(from.clone()));
    loop {
        let due = chunks.front().map(|(due, _)| *due);
        let read_done = match (&mut pending_read, due) {
            (Some(read), None) => Some(read.await?),
            (None, Some(due)) => {
                sleep_until(due).await;
                None
            }
            (Some(read), Some(due)) => match select(read, pin!(sleep_until(due))).await {
                Either::Left((bytes, _)) => Some(bytes?),
                Either::Right(_) => None,
            },
            (None, None) => return Ok(()),
        };
        match read_done {
            Some(bytes) => {
                let eof = bytes.is_empty();
                chunks.push_back((route.delivery_time(), bytes));
                let full = chunks.len() >= MAX_BUFFERED_CHUNKS;
                pending_read = (!eof && !full).then(|| read(from.clone()));
            }
            None => {
                let (_, bytes) = chunks.pop_front().expect("a chunk is queued");
                let eof = bytes.is_empty();
                write(route, link, direction, &mut to, bytes).await?;
                if pending_read.is_none() && !eof && !eof_queued(&chunks) {
                    pending_read = Some(read(from.clone()));
                }
            }
        }
    }
}

fn eof_queued(chunks: &VecDeque<Chunk>) -> bool {
    chunks.back().is_some_and(|(_, bytes)| bytes.is_empty())
}

fn read(mut from: TcpStream) -> LocalBoxFuture<'static, io::Result<Vec<u8>>> {
    async move {
        let BufResult(result, bytes) = from.read(Vec::with_capacity(READ_SIZE)).await;
        result.map(|_| bytes)
    }
    .boxed_local()
}

async fn write(
    route: &Route,
    link: &Link,
    direction: Direction,
    to: &mut TcpStream,
    bytes: Vec<u8>,
) -> io::Result<()> {
    wait_while_blackholed(route, link, direction).await;
    if bytes.is_empty() {
        return to.shutdown().await;
    }
    route.count_bytes(direction, bytes.len());
    to.write_all(bytes).await.0
}

async fn wait_while_blackholed(route: &Route, link: &Link, direction: Direction) {
    while let Some(end) = route.blackhole(link, direction) {
        end.cancelled().await;
    }
}
