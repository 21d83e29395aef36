//! Specification, injected faults and state of a route.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

/// The configuration file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoutesFile {
    /// The routes.
    pub routes: Vec<RouteSpec>,
}

/// One route.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Route id.
    pub id: String,
    /// Protocol, default `tcp`.
    #[serde(default)]
    pub protocol: Protocol,
    /// Listening address; port 0 picks an ephemeral port. Default `127.0.0.1:0`.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Address to which traffic is forwarded.
    pub target: SocketAddr,
    /// Seed of the random datagram loss.
    #[serde(default)]
    pub seed: u64,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Protocol of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// TCP connections.
    #[default]
    Tcp,
    /// UDP datagrams.
    Udp,
}

/// How a route treats traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Traffic is forwarded.
    #[default]
    Pass,
    /// Open connections are closed; new ones are closed on accept.
    Cut,
    /// Connections that are open when this mode is set forward nothing; new ones work.
    BlackholeExisting,
    /// No connection forwards anything; new ones are still accepted.
    Blackhole,
    /// Connections forward data to the target, but nothing back to the client.
    BlackholeBack,
}

/// Faults injected on a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Faults {
    /// Mode.
    pub mode: Mode,
    /// Delay in each direction, in ms.
    pub delay_ms: u64,
    /// Probability of dropping a datagram in each direction, 0 to 1.
    pub loss: f64,
}

/// Partial update of a route; absent fields are left unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// See [`Faults::mode`].
    pub mode: Option<Mode>,
    /// See [`Faults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Faults::loss`].
    pub loss: Option<f64>,
    /// Target of new connections and new UDP peers.
    pub target: Option<SocketAddr>,
}

/// Counters of a route since start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Connections accepted, or UDP peers seen.
    pub connections: u64,
    /// Bytes forwarded to the target.
    pub bytes_to_target: u64,
    /// Bytes forwarded back to clients.
    pub bytes_back: u64,
    /// Datagrams forwarded in either direction.
    pub datagrams: u64,
    /// Datagrams dropped in either direction.
    pub datagrams_dropped: u64,
}

/// Direction of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    ToTarget,
    ToClient,
}

/// One TCP connection or UDP peer.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    pub id: u64,
    /// Cancelled to close the link.
    pub cut: CancellationToken,
}

#[derive(Debug, Clone)]
pub(crate) struct Route(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    spec: RouteSpec,
    address: SocketAddr,
    faults: Faults,
    counters: Counters,
    links: BTreeMap<u64, LinkState>,
    next_link_id: u64,
    rng: SmallRng,
}

#[derive(Debug)]
struct LinkState {
    cut: CancellationToken,
    /// Set while the link is blackholed; cancelled when the blackhole ends.
    blackhole: Option<CancellationToken>,
}

impl Route {
    pub fn new(spec: RouteSpec, address: SocketAddr) -> Self {
        Self(Rc::new(RefCell::new(State {
            address,
            faults: Faults::default(),
            counters: Counters::default(),
            links: BTreeMap::new(),
            next_link_id: 0,
            rng: SmallRng::seed_from_u64(spec.seed),
            spec,
        })))
    }

    pub fn id(&self) -> String {
        self.0.borrow().spec.id.clone()
    }

    pub fn address(&self) -> SocketAddr {
        self.0.borrow().address
    }

    pub fn target(&self) -> SocketAddr {
        self.0.borrow().spec.target
    }

    /// Registers a link; `None` while the route is cut.
    pub fn open_link(&self) -> Option<Link> {
        let mut state = self.0.borrow_mut();
        if state.faults.mode == Mode::Cut {
            return None;
        }
        let id = state.next_link_id;
        state.next_link_id += 1;
        state.counters.connections += 1;
        let cut = CancellationToken::new();
        let blackholed = matches!(state.faults.mode, Mode::Blackhole | Mode::BlackholeBack);
        let blackhole = blackholed.then(CancellationToken::new);
        let link_state = LinkState {
            cut: cut.clone(),
            blackhole,
        };
        state.links.insert(id, link_state);
        Some(Link { id, cut })
    }

    pub fn close_link(&self, link: &Link) {
        self.0.borrow_mut().links.remove(&link.id);
    }

    /// Returns a token that is cancelled when the blackhole ends, or `None` if the link
    /// is not blackholed in this direction.
    pub fn blackhole(&self, link: &Link, direction: Direction) -> Option<CancellationToken> {
        let state = self.0.borrow();
        let unaffected =
            state.faults.mode == Mode::BlackholeBack && direction == Direction::ToTarget;
        if unaffected {
            return None;
        }
        state.links.get(&link.id)?.blackhole.clone()
    }

    /// Time at which traffic received now is to be forwarded.
    pub fn delivery_time(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.0.borrow().faults.delay_ms)
    }

    pub fn count_bytes(&self, direction: Direction, bytes: usize) {
        let counters = &mut self.0.borrow_mut().counters;
        match direction {
            Direction::ToTarget => counters.bytes_to_target += bytes as u64,
            Direction::ToClient => counters.bytes_back += bytes as u64,
        }
    }

    /// Decides whether a datagram on this link is forwarded, and counts it.
    pub fn admit_datagram(&self, link: &Link) -> bool {
        let blackholed = self.blackhole(link, Direction::ToClient).is_some();
        let mut state = self.0.borrow_mut();
        let loss = state.faults.loss;
        let lost = loss > 0.0 && state.rng.random::<f64>() < loss;
        let admitted = !blackholed && !lost && state.faults.mode != Mode::Cut;
        if admitted {
            state.counters.datagrams += 1;
        } else {
            state.counters.datagrams_dropped += 1;
        }
        admitted
    }

    pub fn count_dropped(&self) {
        self.0.borrow_mut().counters.datagrams_dropped += 1;
    }

    pub fn apply(&self, patch: &Patch) {
        let mut state = self.0.borrow_mut();
        if let Some(delay_ms) = patch.delay_ms {
            state.faults.delay_ms = delay_ms;
        }
        if let Some(loss) = patch.loss {
            state.faults.loss = loss;
        }
        if let Some(target) = patch.target {
            state.spec.target = target;
        }
        drop(state);
        if let Some(mode) = patch.mode {
            self.set_mode(mode);
        }
    }

    fn set_mode(&self, mode: Mode) {
        let mut state = self.0.borrow_mut();
        state.faults.mode = mode;
        for link in state.links.values_mut() {
            match mode {
                Mode::Cut => link.cut.cancel(),
                Mode::BlackholeExisting | Mode::Blackhole | Mode::BlackholeBack => {
                    link.blackhole.get_or_insert_default();
                }
                Mode::Pass => {
                    if let Some(end) = link.blackhole.take() {
                        end.cancel();
                    }
                }
            }
        }
    }

    /// Closes all open links; new ones are not affected.
    pub fn cut_links(&self) {
        for link in self.0.borrow().links.values() {
            link.cut.cancel();
        }
    }

    pub fn describe(&self) -> serde_json::Value {
        let state = self.0.borrow();
        serde_json::json!({
            "address": state.address,
            "spec": state.spec,
            "faults": state.faults,
            "open": state.links.len(),
            "counters": state.counters,
        })
    }
}
