//! Prints the cost of one request through a server queue and the memory per
//! server at several numbers of servers.
//!
//! Run with `cargo run --release -p jasminepond-dispatch --example queue_cost`.

use std::{
    fs,
    time::{Duration, Instant},
};

use jasminepond_dispatch::{
    Action, ConnId, Outcome, ServerQueue, ServerState, Settings, Work, WorkId,
};
use jasminepond_types::{TenantId, Timestamp, Weight};

const SERVER_COUNTS: [usize; 4] = [100, 1_000, 5_000, 25_000];
const REQUESTS: u64 = 1_000_000;
/// Requests waiting per server when the memory of a full queue is measured.
const WAITING: u64 = 16;

struct Bench {
    now: Timestamp,
    last_id: u64,
    tenants: Vec<TenantId>,
}

impl Bench {
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn enqueue(&mut self, queue: &mut ServerQueue) {
        let id = self.new_id();
        let work = Work {
            id: WorkId(id),
            tenant: self.tenants[id as usize % self.tenants.len()].clone(),
            weight: Weight(1),
            priority: (id % 3) as u32,
            deadline: self.now + Duration::from_secs(10),
            idempotent: true,
        };
        queue.enqueue(self.now, work);
    }

    /// Performs actions until the queue is idle and completes all started work.
    fn run(&mut self, queue: &mut ServerQueue) {
        loop {
            match queue.next(self.now) {
                Action::Start { conn, .. } => {
                    self.now = self.now + Duration::from_micros(100);
                    queue.completed(self.now, conn, Outcome::Done);
                }
                Action::Connect => queue.connected(self.now, ConnId(self.new_id())),
                Action::Close { conn } => {
                    queue.closed(self.now, conn);
                }
                Action::Check { conn } => queue.checked(self.now, conn, ServerState::Ready),
                Action::Discard { .. } => {}
                Action::Idle { .. } => return,
            }
        }
    }
}

/// Resident memory in bytes, zero if `/proc` is not available.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn main() {
    let mut bench = Bench {
        now: Timestamp::from_millis(1),
        last_id: 0,
        tenants: (0..4)
            .filter_map(|n| format!("tenant-{n}").parse().ok())
            .collect(),
    };
    println!("struct {} bytes", size_of::<ServerQueue>());
    println!("servers  ns/request  bytes new  bytes used  bytes {WAITING} waiting");
    // Queues of earlier rounds stay allocated; reuse of their freed memory would
    // hide the growth.
    let mut kept = Vec::new();
    for servers in SERVER_COUNTS {
        let start = resident();
        let mut queues: Vec<ServerQueue> = (0..servers)
            .map(|n| ServerQueue::new(bench.now, Settings::default(), n as u64))
            .collect();
        let new = resident();
        for queue in &mut queues {
            bench.enqueue(queue);
            bench.run(queue);
        }
        let used = resident();
        let began = Instant::now();
        for request in 0..REQUESTS {
            // A large odd stride makes the order of visits cache-unfriendly.
            let at = (request as usize).wrapping_mul(7_919) % servers;
            bench.enqueue(&mut queues[at]);
            bench.run(&mut queues[at]);
        }
        let nanos = began.elapsed().as_nanos() / u128::from(REQUESTS);
        let before_waiting = resident();
        for queue in &mut queues {
            (0..WAITING).for_each(|_| bench.enqueue(queue));
        }
        let waiting = resident();
        let each = |bytes: u64| bytes / servers as u64;
        println!(
            "{servers:7}  {nanos:10}  {:9}  {:10}  {:16}",
            each(new - start),
            each(used - start),
            each(waiting - before_waiting + used - start),
        );
        kept.push(queues);
    }
}
