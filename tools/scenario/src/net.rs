//! Several daemons in one virtual time: a queue of timed events, and which
//! daemons run and reach each other.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::Timestamp;

use crate::{Error, args::Args};

/// Time that a message between two daemons takes.
pub(crate) const DELAY: Duration = Duration::from_millis(1);

/// Condition of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Process {
    pub(crate) up: bool,
    pub(crate) paused: bool,
    /// Its incarnation.
    pub(crate) run: u64,
    /// Its side of a partition.
    side: usize,
}

/// A change that the machine has to carry out for one daemon.
pub(crate) enum Change {
    Nothing,
    Restarted(usize),
    Woken(usize),
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
            run: 1,
            side: 0,
        });
        self.names.len() - 1
    }

    pub(crate) fn push(&mut self, at: Timestamp, event: E) {
        self.count += 1;
        self.queue.insert((at, self.count), event);
    }

    /// The next event until `end`, in order of time, then of [`Net::push`].
    pub(crate) fn pop(&mut self, end: Timestamp) -> Option<(Timestamp, E)> {
        let first = self.queue.first_entry()?;
        if first.key().0 > end {
            return None;
        }
        let ((at, _), event) = first.remove_entry();
        Some((at, event))
    }

    pub(crate) fn runs(&self, i: usize) -> bool {
        self.processes[i].up && !self.processes[i].paused
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.names.len()).filter(|&i| self.runs(i))
    }

    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        self.runs(to) && self.processes[from].side == self.processes[to].side
    }

    pub(crate) fn index(&self, args: &mut Args<'_>) -> Result<usize, Error> {
        let names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        let name = args.one_of(&names)?;
        Ok(names.iter().position(|n| *n == name).unwrap_or(0))
    }

    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// The daemons that a check names: one, or `all` that run.
    pub(crate) fn named(&self, args: &mut Args<'_>) -> Result<Vec<usize>, Error> {
        let names = ["all"].into_iter();
        let names: Vec<&str> = names.chain(self.names.iter().map(String::as_str)).collect();
        let name = args.one_of(&names)?;
        Ok(match self.find(name) {
            Some(index) => vec![index],
            None => self.running().collect(),
        })
    }

    /// One of `kill`, `restart`, `pause`, `wake`, `cut` and `heal`.
    pub(crate) fn process(&mut self, word: &str, args: &mut Args<'_>) -> Result<Change, Error> {
        if word == "heal" {
            self.processes.iter_mut().for_each(|p| p.side = 0);
            return Ok(Change::Nothing);
        }
        if word == "cut" {
            for side in 1.. {
                if args.done().is_ok() {
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
        let index = self.index(args)?;
        let process = &mut self.processes[index];
        Ok(match word {
            "kill" => {
                process.up = false;
                Change::Nothing
            }
            "restart" => {
                (process.up, process.paused) = (true, false);
                process.run += 1;
                Change::Restarted(index)
            }
            "pause" => {
                process.paused = true;
                Change::Nothing
            }
            _ => {
                process.paused = false;
                Change::Woken(index)
            }
        })
    }
}

/// One value if all are equal, else all of them.
pub(crate) fn agreed(values: Vec<String>) -> String {
    match values.split_first() {
        Some((first, rest)) if rest.iter().all(|v| v == first) => first.clone(),
        _ => values.join(","),
    }
}
