//! Whether this daemon is in contact with any backend server.
//!
//! A daemon that loses its own links and a daemon whose servers have all failed observe the
//! same about each single server. What differs is the number of services: servers of several
//! services do not stop responding at the same moment. Before contact counts as lost, servers
//! of further services are therefore probed with new connections.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jasminepond_types::Timestamp;

use crate::service::ServiceKey;

/// Shortest silence of all servers that raises a suspicion.
const MIN_SILENCE: Duration = Duration::from_millis(50);

/// Time after which a probe counts as unanswered. Covers a handshake between zones and the
/// work of a server on a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of services whose servers must be silent. With fewer, the servers of some services
/// could be taken for all.
const MIN_SILENT: usize = 8;

/// Number of services whose servers must respond again.
const MIN_RESPONDING: usize = 3;

/// Number of services that are probed at a time.
const PROBED: usize = 3;

/// Number of services that are probed if the first probes were not answered and the servers
/// of too few services are silent.
const PROBED_AGAIN: usize = 8;

/// Number of services whose idle connections are checked while new ones are refused.
const CHECKED: usize = 8;

/// Time that servers have to answer on these connections. Longer than the pauses of a server, so
/// that servers of several services seldom need more at the same time.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest time between probes that are sent because other daemons have lost contact.
const PEER_LOSS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the probes while contact is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the response of a server counts towards regaining contact.
const RESPONSE_MEMORY: Duration = Duration::from_millis(600);

/// If contact is lost again within this time of regaining it, it stays lost for a time.
const FLAP_WINDOW: Duration = Duration::from_secs(10);

/// Shortest and longest time for which contact then stays lost.
const HOLD_MIN: Duration = Duration::from_secs(1);
const HOLD_MAX: Duration = Duration::from_secs(4);

/// A change of the contact with backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactEvent {
    /// No server responds.
    Lost {
        /// Time since any server responded.
        silence: Duration,
        /// Number of services whose servers were tried since then.
        services: usize,
    },
    /// Servers of several services respond again.
    Regained {
        /// Time for which no server responded.
        lost_for: Duration,
    },
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContactStep {
    /// Nothing.
    Keep,
    /// Call [`Contact::check`] at this time.
    CheckAt(Timestamp),
    /// Open connections to servers of this many services, and call [`Contact::check`] at a
    /// time.
    Probe { services: usize, until: Timestamp },
    /// Send health requests on idle connections to servers of this many services, tell the
    /// result of [`Contact::checked`], and call [`Contact::check`] at a time.
    CheckConnections { services: usize, until: Timestamp },
    /// Contact is lost or regained.
    Changed(ContactEvent),
}

/// How a server failed to respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Failure {
    /// A new connection was refused, which does not concern those that are open.
    Refused,
    /// A call or a connection attempt was not answered.
    Unanswered,
}

#[derive(Debug, Clone, PartialEq, Eq, Default)]
enum State {
    #[default]
    InContact,
    /// Probes were sent, which time out at this time.
    Suspected { until: Timestamp },
    /// New connections are refused, and health requests were sent on idle ones.
    Checking {
        /// When they time out.
        until: Timestamp,
        /// Services whose servers may still answer.
        pending: BTreeSet<ServiceKey>,
    },
    Lost {
        /// When a server last responded before.
        since: Timestamp,
        /// Contact is not regained before this time.
        hold_until: Timestamp,
        /// When servers of each service last responded since.
        responses: BTreeMap<ServiceKey, Timestamp>,
    },
}

/// Contact of this daemon with all backend servers together.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    state: State,
    /// When any server last responded or accepted a connection.
    heard: Timestamp,
    /// When the newest call or attempt to connect began that a server has responded to.
    answered_from: Timestamp,
    /// Services with a server that failed to respond since then.
    silent: BTreeMap<ServiceKey, Failure>,
    /// When contact was last regained.
    regained_at: Option<Timestamp>,
    /// Shortest time for which contact stayed lost when it was lost last.
    hold: Duration,
    /// Number of services that have servers.
    services: usize,
    /// When probes were last sent because of a suspicion.
    probed_at: Timestamp,
}

impl Contact {
    /// Sets the number of services that have servers.
    pub(crate) fn set_services(&mut self, services: usize) {
        self.services = services;
    }

    /// Whether contact is lost.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.state, State::Lost { .. })
    }

    /// Whether a server has responded to what began after `at`.
    pub(crate) fn reaches_since(&self, at: Timestamp) -> bool {
        self.answered_from > at
    }

    /// Time for which no server has responded, if contact is lost.
    pub(crate) fn lost_for(&self, now: Timestamp) -> Option<Duration> {
        match self.state {
            State::Lost { since, .. } => Some(now.since(since)),
            State::InContact | State::Suspected { .. } | State::Checking { .. } => None,
        }
    }

    /// Whether a probe of the service tells less than one of others: a server of it was tried
    /// without success, or has responded, since contact was suspected or lost.
    pub(crate) fn is_known(&self, service: ServiceKey) -> bool {
        match &self.state {
            State::Lost { responses, .. } => responses.contains_key(&service),
            State::InContact | State::Suspected { .. } | State::Checking { .. } => {
                self.silent.contains_key(&service)
            }
        }
    }

    /// Records that a server responded or accepted a connection, to what began at `began`.
    pub(crate) fn heard(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
        began: Timestamp,
    ) -> ContactStep {
        self.heard = now;
        self.answered_from = self.answered_from.max(began);
        self.silent.clear();
        match &mut self.state {
            State::InContact => ContactStep::Keep,
            State::Suspected { .. } | State::Checking { .. } => {
                self.state = State::InContact;
                ContactStep::Keep
            }
            State::Lost { responses, .. } => {
                let first = responses.is_empty();
                responses.insert(service, now);
                match self.regain(now) {
                    // Probe further services now, since the partition has probably ended.
                    ContactStep::Keep if first => probe(PROBED, now + PROBE_INTERVAL),
                    step => step,
                }
            }
        }
    }

    /// Records that a server failed to respond in time to a call or to an attempt to connect
    /// that began at `since`. It counts only if no server has responded after that.
    pub(crate) fn unanswered(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
        since: Timestamp,
        failure: Failure,
    ) -> ContactStep {
        if since < self.heard {
            return ContactStep::Keep;
        }
        self.silent.insert(service, failure);
        match self.state {
            State::InContact => self.suspect(now),
            State::Suspected { .. } | State::Checking { .. } | State::Lost { .. } => {
                ContactStep::Keep
            }
        }
    }

    /// Handles that another daemon has lost contact. Partitions usually affect several daemons.
    pub(crate) fn on_peer_lost(&mut self, now: Timestamp) -> ContactStep {
        let recently = now.since(self.probed_at) < PEER_LOSS_INTERVAL;
        match self.state {
            State::InContact if !recently && now.since(self.heard) >= MIN_SILENCE => {
                self.suspect(now)
            }
            _ => ContactStep::Keep,
        }
    }

    fn suspect(&mut self, now: Timestamp) -> ContactStep {
        if now.since(self.heard) < MIN_SILENCE {
            return ContactStep::CheckAt(self.heard + MIN_SILENCE);
        }
        let until = now + PROBE_TIMEOUT;
        self.state = State::Suspected { until };
        self.probed_at = now;
        probe(PROBED, until)
    }

    /// Records that servers of a service are probed.
    pub(crate) fn probed(&mut self, service: ServiceKey) {
        if let State::Suspected { .. } = self.state {
            self.silent.insert(service, Failure::Unanswered);
        }
    }

    /// Handles the time that a step has set. `connected` states whether connections to servers
    /// are open.
    pub(crate) fn check(&mut self, now: Timestamp, connected: bool) -> ContactStep {
        match self.state {
            State::InContact if self.silent.is_empty() => ContactStep::Keep,
            State::InContact => self.suspect(now),
            State::Suspected { until } if now < until => ContactStep::CheckAt(until),
            State::Suspected { .. } if self.silent_services(connected) >= self.needed() => {
                self.lose(now)
            }
            State::Suspected { .. } if self.silent.len() >= self.needed() => {
                // New connections are refused, and those that are open may work. A partition may
                // also have cut them, which shows only when something is sent.
                let until = now + CHECK_TIMEOUT;
                let pending = BTreeSet::new();
                self.state = State::Checking { until, pending };
                ContactStep::CheckConnections {
                    services: CHECKED,
                    until,
                }
            }
            State::Checking { until, ref pending } if !pending.is_empty() && now < until => {
                ContactStep::CheckAt(until)
            }
            State::Checking { .. } => self.lose(now),
            State::Suspected { .. } => {
                let until = now + PROBE_TIMEOUT;
                self.state = State::Suspected { until };
                probe(PROBED_AGAIN, until)
            }
            State::Lost { .. } => match self.regain(now) {
                ContactStep::Keep => probe(PROBED, now + PROBE_INTERVAL),
                step => step,
            },
        }
    }

    /// Records the services to whose servers health requests were sent on idle connections.
    /// Without any, the open connections are presumed to work.
    pub(crate) fn checked(&mut self, services: impl IntoIterator<Item = ServiceKey>) {
        if let State::Checking { pending, .. } = &mut self.state {
            pending.extend(services);
            if pending.is_empty() {
                self.state = State::InContact;
                self.silent.clear();
            }
        }
    }

    /// Records that a connection to a server of the service ended while a health request was in
    /// progress on it.
    pub(crate) fn check_failed(&mut self, now: Timestamp, service: ServiceKey) -> ContactStep {
        let State::Checking { pending, .. } = &mut self.state else {
            return ContactStep::Keep;
        };
        match pending.remove(&service) {
            true => self.check(now, true),
            false => ContactStep::Keep,
        }
    }

    /// Discards what was observed before a pause of this process, which had no chance to
    /// receive responses.
    pub(crate) fn on_pause(&mut self, now: Timestamp) {
        if !self.is_lost() {
            self.state = State::InContact;
            self.heard = now;
            self.silent.clear();
        }
    }

    /// Number of services whose servers must be silent.
    fn needed(&self) -> usize {
        self.services.clamp(1, MIN_SILENT)
    }

    fn silent_services(&self, connected: bool) -> usize {
        let counts = |failure: &&Failure| !connected || **failure == Failure::Unanswered;
        self.silent.values().filter(counts).count()
    }

    fn lose(&mut self, now: Timestamp) -> ContactStep {
        self.hold = match self.regained_at {
            Some(at) if now.since(at) < FLAP_WINDOW => (self.hold * 2).clamp(HOLD_MIN, HOLD_MAX),
            _ => Duration::ZERO,
        };
        self.state = State::Lost {
            since: self.heard,
            hold_until: now + self.hold,
            responses: BTreeMap::new(),
        };
        ContactStep::Changed(ContactEvent::Lost {
            silence: now.since(self.heard),
            services: self.silent.len(),
        })
    }

    fn regain(&mut self, now: Timestamp) -> ContactStep {
        let needed = self.services.clamp(1, MIN_RESPONDING);
        let State::Lost {
            since,
            hold_until,
            responses,
        } = &mut self.state
        else {
            return ContactStep::Keep;
        };
        responses.retain(|_, at| now.since(*at) <= RESPONSE_MEMORY);
        if now < *hold_until || responses.len() < needed {
            return ContactStep::Keep;
        }
        let lost_for = now.since(*since);
        self.regained_at = Some(now);
        self.state = State::InContact;
        self.silent.clear();
        ContactStep::Changed(ContactEvent::Regained { lost_for })
    }
}

fn probe(services: usize, until: Timestamp) -> ContactStep {
    ContactStep::Probe { services, until }
}
