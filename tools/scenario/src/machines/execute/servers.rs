//! Requests at the backend servers, and on the links to the servers' owners.

use jasminepond_query::{ExecuteOutcome, ExecuteStep, Execution, ExecutionAttempt};
use jasminepond_types::{ErrorKind, Millis, Timestamp};

use super::{Cluster, Run, ScriptedChooser, Sent};
use crate::{Error, args::Args, machine::Out};

impl Cluster {
    /// Counts a run of the request, and checks that it is the first one and that no
    /// caller was told that the request did not run.
    pub(super) fn record_run(&mut self, at: usize) {
        let key = self.sent[at].key.clone();
        let ran = self.run_counts.entry(key.clone()).or_default();
        *ran += 1;
        if *ran > 1 {
            self.violation = Some(format!("{key} ran {ran} times"));
        } else if self.not_run.get(&key).is_some_and(|&sent| at < sent) {
            self.violation = Some(format!("{key} ran after it was reported as not run"));
        }
    }

    /// The last request with the given key that was sent to the given server.
    pub(super) fn find_sent(&self, args: &mut Args<'_>) -> Result<usize, Error> {
        let missing = args.error("a server and a key that was sent to it");
        let server = args.word("a server")?;
        let key = args.word("a key")?;
        let matches = |s: &Sent| s.server.as_str() == server && s.key == key;
        self.sent.iter().rposition(matches).ok_or(missing)
    }

    /// Marks the request as run or refused; a server does one of the two, once.
    pub(super) fn mark_decided(&mut self, at: usize, args: &Args<'_>) -> Result<(), Error> {
        match std::mem::replace(&mut self.sent[at].decided, true) {
            true => Err(args.error("a request that the server has neither run nor refused")),
            false => Ok(()),
        }
    }

    pub(super) fn reply(&mut self, now: Timestamp, args: &mut Args<'_>) -> Result<Vec<Out>, Error> {
        let at = self.find_sent(args)?;
        let kinds: Vec<&str> = ErrorKind::ALL.iter().map(|k| k.as_str()).collect();
        let words: Vec<&str> = ["done"].iter().chain(&kinds).copied().collect();
        let word = args.one_of(&words)?;
        let retry_after = args.key_parse::<u64>("retry")?.map(Millis);
        let result = args.key_word("result")?.unwrap_or("ok").to_owned();
        let outcome = match word.parse::<ErrorKind>() {
            Err(_) => ExecuteOutcome::Done {
                result: result.into(),
            },
            Ok(kind) => {
                if kind.response().run == jasminepond_types::RunStatus::NotRun {
                    self.mark_decided(at, args)?;
                }
                ExecuteOutcome::NotRun { kind, retry_after }
            }
        };
        Ok(self.deliver_outcome(now, at, |e, attempt, chooser| {
            e.on_outcome(now, chooser, attempt, outcome)
        }))
    }

    /// Passes an outcome to the execution that sent the request, if the execution
    /// still exists and its daemon is running.
    pub(super) fn deliver_outcome(
        &mut self,
        now: Timestamp,
        at: usize,
        event: impl FnOnce(
            &mut Execution,
            ExecutionAttempt,
            &mut ScriptedChooser<'_>,
        ) -> Vec<ExecuteStep>,
    ) -> Vec<Out> {
        let sent = &self.sent[at];
        let (attempt, name) = (sent.attempt, sent.daemon.clone());
        let daemon = self.daemons.get_mut(&name).expect("a known daemon");
        let current = daemon.up && !daemon.paused && daemon.incarnation == sent.incarnation;
        let matches = |r: &Run| r.execution.id() == attempt.execution;
        let Some(index) = daemon.runs.iter().position(matches).filter(|_| current) else {
            return Vec::new();
        };
        let script = &mut ScriptedChooser(&self.down);
        let steps = event(&mut daemon.runs[index].execution, attempt, script);
        self.steps(now, &name, index, steps)
    }

    /// Breaks the link to the server's owner before or after the request was sent.
    pub(super) fn lose_link(
        &mut self,
        now: Timestamp,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        let at = self.find_sent(args)?;
        let unsent = args.one_of(&["sent", "unsent"])? == "unsent";
        if unsent {
            self.mark_decided(at, args)?;
        }
        if unsent || self.disabled == "unknown-after-send" {
            let outcome = ExecuteOutcome::NotRun {
                kind: ErrorKind::NoBackend,
                retry_after: None,
            };
            return Ok(self.deliver_outcome(now, at, |e, attempt, chooser| {
                e.on_outcome(now, chooser, attempt, outcome)
            }));
        }
        Ok(self.deliver_outcome(now, at, |e, attempt, _| e.on_link_lost(attempt)))
    }
}
