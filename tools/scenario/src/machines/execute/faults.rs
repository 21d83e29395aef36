//! Faults: killed, restarted and paused daemons, and broken links.

use jasminepond_types::Timestamp;

use super::{Cluster, table, unknown_outcome};
use crate::{Error, args::Args, machine::Out};

impl Cluster {
    pub(super) fn is_partitioned(&self, a: &str, b: &str) -> bool {
        let cut = |a: &str, b: &str| self.cut.contains(&(a.to_owned(), b.to_owned()));
        cut(a, b) || cut(b, a)
    }

    pub(super) fn cut_or_heal(
        &mut self,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        let (a, b) = (args.word("a daemon")?, args.word("a daemon")?);
        if word == "heal" {
            self.cut.remove(&(a.to_owned(), b.to_owned()));
            return Ok(Vec::new());
        }
        self.cut.insert((a.to_owned(), b.to_owned()));
        Ok([(a, b), (b, a)]
            .into_iter()
            .flat_map(|(at, via)| self.fail_waiting(at, |w| w == via))
            .collect())
    }

    /// Reports an unknown outcome to the callers that wait for `at` through a daemon
    /// for which `lost` holds.
    pub(super) fn fail_waiting(&mut self, at: &str, lost: impl Fn(&str) -> bool) -> Vec<Out> {
        let mut gone = Vec::new();
        for run in &mut self.daemon(at).runs {
            let lost = run.waiting.extract_if(.., |via| lost(via));
            gone.extend(lost.map(|via| (run.key.clone(), via)));
        }
        let respond = |(key, via): (String, String)| self.respond(&key, &via, &unknown_outcome());
        gone.into_iter().map(respond).collect()
    }

    pub(super) fn apply_fault(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        let name = args.word("a daemon")?;
        if !self.daemons.contains_key(name) {
            return Err(args.error("a daemon that exists"));
        }
        let mut outs = Vec::new();
        match word {
            "kill" => {
                outs = self.fail_waiting(name, |via| via != name);
                self.daemon(name).up = false;
                self.daemon(name).runs.clear();
            }
            "restart" => {
                let (lifetime, ring) = (self.lifetime, self.ring.clone());
                let daemon = self.daemon(name);
                daemon.incarnation += 1;
                daemon.table = table(name, daemon.incarnation, lifetime, &ring);
                (daemon.up, daemon.paused) = (true, false);
            }
            "pause" => {
                let daemon = self.daemon(name);
                (daemon.paused, daemon.paused_at) = (true, now);
            }
            _ => outs = self.resume(now, name),
        }
        Ok(outs)
    }

    /// Ends a pause: the links are closed and no waiting request is sent.
    pub(super) fn resume(&mut self, now: Timestamp, name: &str) -> Vec<Out> {
        let mut outs = self.fail_waiting(name, |via| via != name);
        let suspended = self.disabled == "suspended-clock";
        let daemon = self.daemon(name);
        daemon.paused = false;
        if suspended {
            daemon.clock_lag = now.since(daemon.paused_at);
        }
        for index in (0..self.daemon(name).runs.len()).rev() {
            if suspended || self.disabled == "pause-check" {
                continue;
            }
            let steps = self.daemon(name).runs[index].execution.on_resumed();
            outs.extend(self.steps(now, name, index, steps));
        }
        outs
    }
}
