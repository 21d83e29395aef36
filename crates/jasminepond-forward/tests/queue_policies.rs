//! Compares orders of a queue at one server, without a network. The table is in
//! `docs/design/queueing.md`.

use std::time::Duration;

use jasminepond_forward::{
    Blocked, CallerId, Lane, PartId, PartQueue, QueuedPart, ReqKey, ServerChoice,
};
use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};
use slotmap::KeyData;

const MS: Duration = Duration::from_millis(1);

/// Classes of the first customer: work, objective and deadline in ms, and requests per second
/// that keep a server with two slots busy at 1.
const CLASSES: [(u64, u64, u64, f64); 3] = [
    (7, 50, 400, 29.0),
    (20, 200, 800, 50.0),
    (160, 1_200, 4_000, 5.0),
];

const LOAD_END: Timestamp = Timestamp::from_millis(44_000);

/// Requests that arrived until then have ended before the load does.
const MEASURED: Timestamp = Timestamp::from_millis(40_000);

#[derive(Debug, Clone, Copy)]
struct Job {
    class: usize,
    arrived: Timestamp,
    work: Duration,
}

impl Job {
    fn objective(&self) -> Timestamp {
        self.arrived + CLASSES[self.class].1 as u32 * MS
    }

    fn deadline(&self) -> Timestamp {
        self.arrived + CLASSES[self.class].2 as u32 * MS
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The order before: late ones last, then by class and arrival.
    Strict,
    /// A share of 4, 2 and 1 of the turns, by arrival.
    Weighted,
    /// By the time of the objective.
    EarliestDeadline,
    /// The newest one of the most urgent class.
    Newest,
    /// The order before, with requests dropped that waited more than a tenth of the objective
    /// while none waited less for one objective.
    CoDel,
    /// [`PartQueue`].
    Turns,
}

/// Index of the next job by an order other than [`Policy::Turns`].
fn choose(policy: Policy, now: Timestamp, jobs: &[Job], turns: &mut [f64; 3]) -> usize {
    let late = |job: &Job| now > job.objective();
    let at = 0..jobs.len();
    let key = |at: &usize| -> (bool, u64, u64) {
        let job = &jobs[*at];
        let (class, arrived) = (job.class as u64, job.arrived.as_micros());
        match policy {
            Policy::Strict | Policy::CoDel | Policy::Turns => (late(job), class, arrived),
            Policy::Weighted => {
                let finish = turns[job.class] + 1.0 / [4.0, 2.0, 1.0][job.class];
                (false, (finish * 1e6) as u64, arrived)
            }
            Policy::EarliestDeadline => (late(job), job.objective().as_micros(), 0),
            Policy::Newest => (late(job), class, u64::MAX - arrived),
        }
    };
    let chosen = at.min_by_key(key).unwrap_or(0);
    let class = jobs[chosen].class;
    let waiting = |class: usize| jobs.iter().any(|job| job.class == class);
    let least = (0..3).filter(|class| waiting(*class)).map(|c| turns[c]);
    let least = least.fold(f64::MAX, f64::min);
    turns[class] = turns[class].max(least) + 1.0 / [4.0, 2.0, 1.0][class];
    chosen
}

/// Shares of the requests of each class that are answered in time, and at all.
fn play(policy: Policy, load: [f64; 3], seed: u64) -> [(f64, f64); 3] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (class, (work, _, _, per_s)) in CLASSES.iter().enumerate() {
        let mut at = Timestamp::ZERO;
        while at < LOAD_END {
            let gap = -(1.0 - rng.random::<f64>()).ln() / (per_s * load[class]);
            at = at + Duration::from_secs_f64(gap);
            let work = (*work as u32 * MS).mul_f64(0.7 + 0.6 * rng.random::<f64>());
            arrivals.push(Job {
                class,
                arrived: at,
                work,
            });
        }
    }
    arrivals.sort_by_key(|job| job.arrived);
    let mut free = [Timestamp::ZERO; 2];
    let (mut waiting, mut queue, mut turns) = (Vec::new(), PartQueue::default(), [0.0; 3]);
    let (mut next, mut above_since) = (0, None);
    let mut counts = [(0, 0); 3];
    let id = |at: usize| PartId {
        req: ReqKey::from(KeyData::from_ffi((1 << 32) | (at as u64 + 1))),
        part: 0,
    };
    loop {
        let slot = usize::from(free[1] < free[0]);
        let mut now = free[slot];
        waiting.retain(|at: &usize| {
            let keep = arrivals[*at].deadline() > now;
            if !keep {
                queue.remove(id(*at));
            }
            keep
        });
        if waiting.is_empty() {
            let Some(job) = arrivals.get(next) else { break };
            now = now.max(job.arrived);
        }
        while let Some(job) = arrivals.get(next).filter(|job| job.arrived <= now) {
            queue.arrived(job.arrived, job.class as u32);
            queue.push(
                job.arrived,
                QueuedPart {
                    id: id(next),
                    caller: CallerId(next as u64 % 50),
                    draw: next as u64,
                    priority: job.class as u32,
                    lane: Lane::InTime,
                    choice: ServerChoice::ANY,
                    send_by: job.objective() - job.work,
                },
            );
            waiting.push(next);
            next += 1;
        }
        let jobs: Vec<Job> = waiting.iter().map(|at| arrivals[*at]).collect();
        let chosen = match policy {
            Policy::Turns => {
                let next = queue.next(now, &Blocked::default()).map(|part| part.id);
                waiting.iter().position(|at| Some(id(*at)) == next)
            }
            _ => Some(choose(policy, now, &jobs, &mut turns)),
        };
        let Some(chosen) = chosen else { break };
        let at = waiting.remove(chosen);
        queue.sent(now, id(at));
        let job = arrivals[at];
        let limit = Duration::from_millis(CLASSES[job.class].1);
        if policy == Policy::CoDel {
            let above = now.since(job.arrived) > limit / 10;
            above_since = above.then(|| above_since.unwrap_or(now));
            if above_since.is_some_and(|since| now.since(since) > limit) {
                continue;
            }
        }
        free[slot] = now + job.work;
        if job.arrived < MEASURED {
            counts[job.class].1 += 1;
            counts[job.class].0 += usize::from(free[slot] <= job.objective());
        }
    }
    [0, 1, 2].map(|class| {
        let measured = |job: &&Job| job.class == class && job.arrived < MEASURED;
        let all = arrivals.iter().filter(measured).count() as f64;
        let (in_time, served) = counts[class];
        (in_time as f64 / all, served as f64 / all)
    })
}

const POLICIES: [Policy; 6] = [
    Policy::Strict,
    Policy::Weighted,
    Policy::EarliestDeadline,
    Policy::Newest,
    Policy::CoDel,
    Policy::Turns,
];

/// Guards against an order by which a class starves, a more urgent class is served less often
/// than a less urgent one, or the urgent class misses its objective: at 2, 4 and 8 times the
/// load of all classes, and of each.
#[test]
fn the_order_keeps_the_rules_at_all_loads() {
    let all = [2.0, 4.0, 8.0].map(|times| [times; 3]);
    let each = [[8.0, 1.0, 1.0], [1.0, 8.0, 1.0], [1.0, 1.0, 8.0]];
    for load in all.into_iter().chain(each) {
        for policy in POLICIES {
            let shares = play(policy, load, 1);
            let line = shares.map(|(in_time, served)| format!("{in_time:.2}/{served:.2}"));
            println!("{load:?} {policy:?} {}", line.join(" "));
        }
        let served = play(Policy::Turns, load, 1).map(|(_, served)| served);
        let demand = [0, 1, 2].map(|class| CLASSES[class].3 * load[class]);
        let sent: f64 = (0..3).map(|c| served[c] * demand[c]).sum();
        let mean = sent / demand.iter().sum::<f64>();
        for (class, share) in served.iter().enumerate() {
            assert!(share + 0.01 >= mean / 4.0, "{load:?} {class}: {served:?}");
        }
        assert!(served[0] + 0.01 >= served[1], "{load:?}: {served:?}");
        assert!(served[1] + 0.01 >= served[2], "{load:?}: {served:?}");
    }
}
