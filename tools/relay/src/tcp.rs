//! TCP connections.

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

/// Bytes read at once.
const CHUNK: usize = 64 * 1024;

/// Chunks held per direction; the sender waits beyond that.
const MAX_CHUNKS: usize = 64;

pub(crate) async fn listen(route: Route, listener: TcpListener) {
    loop {
        let stream = standin_http::accept(&listener).await;
        if let Some(link) = route.open() {
            compio::runtime::spawn(relay(route.clone(), link, stream)).detach();
        }
    }
}

async fn relay(route: Route, link: Link, stream: TcpStream) {
    let passing = async {
        // The target must not see a connection that passes nothing.
        wait_for_blackhole(&route, &link, Direction::ToTarget).await;
        let target = TcpStream::connect(route.target()).await?;
        target.set_nodelay(true)?;
        let there = pump(
            &route,
            &link,
            Direction::ToTarget,
            stream.clone(),
            target.clone(),
        );
        let back = pump(
            &route,
            &link,
            Direction::Back,
            target.clone(),
            stream.clone(),
        );
        try_join(there, back).await
    };
    // A broken connection ends both of its sides; there is nobody to tell.
    let _ = select(pin!(passing), pin!(link.cut.cancelled())).await;
    route.close(&link);
}

/// What was read, and when it is due at the other side. An empty chunk is the
/// end of the stream.
type Chunk = (Instant, Vec<u8>);

async fn pump(
    route: &Route,
    link: &Link,
    direction: Direction,
    from: TcpStream,
    mut to: TcpStream,
) -> io::Result<()> {
    let mut chunks = VecDeque::<Chunk>::new();
    // A read keeps its future until it completes: dropping it could lose bytes.
    let mut reading = Some(read(from.clone()));
    loop {
        let due = chunks.front().map(|(due, _)| *due);
        let read_done = match (&mut reading, due) {
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
                let ended = bytes.is_empty();
                chunks.push_back((route.due(), bytes));
                let full = chunks.len() >= MAX_CHUNKS;
                reading = (!ended && !full).then(|| read(from.clone()));
            }
            None => {
                let (_, bytes) = chunks.pop_front().expect("a chunk was due");
                let ended = bytes.is_empty();
                write(route, link, direction, &mut to, bytes).await?;
                if reading.is_none() && !ended && !ends(&chunks) {
                    reading = Some(read(from.clone()));
                }
            }
        }
    }
}

fn ends(chunks: &VecDeque<Chunk>) -> bool {
    chunks.back().is_some_and(|(_, bytes)| bytes.is_empty())
}

fn read(mut from: TcpStream) -> LocalBoxFuture<'static, io::Result<Vec<u8>>> {
    async move {
        let BufResult(result, bytes) = from.read(Vec::with_capacity(CHUNK)).await;
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
    wait_for_blackhole(route, link, direction).await;
    if bytes.is_empty() {
        return to.shutdown().await;
    }
    route.count_bytes(direction, bytes.len());
    to.write_all(bytes).await.0
}

async fn wait_for_blackhole(route: &Route, link: &Link, direction: Direction) {
    while let Some(end) = route.blackhole(link, direction) {
        end.cancelled().await;
    }
}
