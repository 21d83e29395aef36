//! Simulated network of daemons in virtual time: a queue of timed events, the state
//! of each process, and partitions.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::Timestamp;

use crate::{Error, args::Args};

/// Latency of a message between two daemons.
pub(crate) const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// State of a daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Process {
    pub(crate) up: bool,
    pub(crate) paused: bool,
    pub(crate) incarnation: u64,
    /// Its side of the partition; 0 if it is on none of the listed sides.
    side: usize,
}

/// The follow-up of a fault that the machine has to perform for a daemon.
pub(crate) enum Change {
    Nothing,
    Restarted(usize),
    Resumed(usize),
}

pub(crate) struct Net<E> {
    queue: BTreeMap<(Timestamp, u64), E>,
    count: u64,
    pub(crate) names: Vec<String>,
    pub(crate) processes: Vec<Process>,
}

impl<E> Net<E> {
    pub(crate) fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            count: 0,
            names: Vec::new(),
            processes: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, name: &str) -> usize {
        self.names.push(name.to_owned());
        self.processes.push(Process {
            up: true,
            paused: false,
            incarnation: 1,
            side: 0,
        });
        self.names.len() - 1
    }

    pub(crate) fn push(&mut self, at: Timestamp, event: E) {
        self.count += 1;
        self.queue.insert((at, self.count), event);
    }

    /// Removes the next event that is due by `end`; events at the same time come in
    /// the order of [`Net::push`].
    pub(crate) fn pop(&mut self, end: Timestamp) -> Option<(Timestamp, E)> {
        let first = self.queue.first_entry()?;
        if first.key().0 > end {
            return None;
        }
        let ((at, _), event) = first.remove_entry();
        Some((at, event))
    }

    pub(crate) fn is_running(&self, i: usize) -> bool {
        self.processes[i].up && !self.processes[i].paused
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.names.len()).filter(|&i| self.is_running(i))
    }

    pub(crate) fn can_reach(&self, from: usize, to: usize) -> bool {
        self.is_running(to) && self.processes[from].side == self.processes[to].side
    }

    pub(crate) fn parse_daemon(&self, args: &mut Args<'_>) -> Result<usize, Error> {
        let names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        let name = args.one_of(&names)?;
        Ok(names.iter().position(|n| *n == name).unwrap_or(0))
    }

    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// Reads the name of a daemon, or `all` for all running daemons.
    pub(crate) fn select(&self, args: &mut Args<'_>) -> Result<Vec<usize>, Error> {
        let names = ["all"].into_iter();
        let names: Vec<&str> = names.chain(self.names.iter().map(String::as_str)).collect();
        let name = args.one_of(&names)?;
        Ok(match self.find(name) {
            Some(index) => vec![index],
            None => self.running().collect(),
        })
    }

    /// Applies `kill`, `restart`, `pause`, `wake`, `cut` or `heal`.
    pub(crate) fn apply_fault(&mut self, word: &str, args: &mut Args<'_>) -> Result<Change, Error> {
        if word == "heal" {
            self.processes.iter_mut().for_each(|p| p.side = 0);
            return Ok(Change::Nothing);
        }
        if word == "cut" {
            for side in 1.. {
                if args.expect_end().is_ok() {
                    break;
                }
                for name in args.list("sides such as [d1 d2] [d3]")? {
                    let found = self.find(name);
                    let index = found.ok_or_else(|| args.error("lists of daemons that exist"))?;
                    self.processes[index].side = side;
                }
            }
            return Ok(Change::Nothing);
        }
        let index = self.parse_daemon(args)?;
        let process = &mut self.processes[index];
        Ok(match word {
            "kill" => {
                process.up = false;
                Change::Nothing
            }
            "restart" => {
                (process.up, process.paused) = (true, false);
                process.incarnation += 1;
                Change::Restarted(index)
            }
            "pause" => {
                process.paused = true;
                Change::Nothing
            }
            _ => {
                process.paused = false;
                Change::Resumed(index)
            }
        })
    }
}

/// The common value if all are equal, otherwise all values separated by commas.
pub(crate) fn merge_values(values: Vec<String>) -> String {
    match values.split_first() {
        Some((first, rest)) if rest.iter().all(|v| v == first) => first.clone(),
        _ => values.join(","),
    }
}
