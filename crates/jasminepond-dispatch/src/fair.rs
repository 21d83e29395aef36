//! Scheduling order of waiting work: strict priority among classes with a
//! starvation share, deficit round robin among tenants, earliest deadline first
//! within a tenant.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use jasminepond_types::{TenantId, Timestamp};

use crate::{Work, WorkId};

/// Sort key of work within its tenant: deadline, then arrival number.
type QueueKey = (Timestamp, u64);

#[derive(Debug)]
struct Tenant {
    id: TenantId,
    weight: u64,
    deficit: u64,
    queue: BTreeMap<QueueKey, WorkId>,
}

#[derive(Debug)]
struct Class {
    priority: u32,
    /// Arrival numbers of all work of the class, oldest first.
    arrivals: BTreeSet<(u64, WorkId)>,
    tenants: Vec<Tenant>,
    next_tenant: usize,
}

#[derive(Debug)]
struct Item {
    work: Work,
    arrival: u64,
}

/// Result of [`FairQueue::push`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Push {
    Added,
    /// Added in place of the given work of a tenant above its share.
    Replaced(WorkId),
    /// Not added: the class is full and no tenant exceeds its share by more.
    Full,
}

/// All waiting work of one server.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    items: HashMap<WorkId, Item>,
    /// Non-empty classes, highest priority first.
    classes: Vec<Class>,
    arrivals: u64,
    /// Consecutive dispatches of the highest class while a lower class waited.
    top_dispatches: u32,
    /// Lower bound of the deadlines of all waiting work.
    earliest_deadline: Option<Timestamp>,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(crate) fn contains(&self, id: WorkId) -> bool {
        self.items.contains_key(&id)
    }

    /// Priority and number of waiting requests of the highest non-empty class.
    pub(crate) fn top(&self) -> (u32, u32) {
        self.classes.first().map_or((0, 0), |class| {
            (class.priority, class.arrivals.len() as u32)
        })
    }

    /// Lower bound of the deadlines of all waiting work.
    pub(crate) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.earliest_deadline
    }

    pub(crate) fn push(&mut self, work: Work, limit: usize) -> Push {
        let replaced = match self.make_room(&work, limit) {
            Ok(replaced) => replaced,
            Err(()) => return Push::Full,
        };
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.class_mut(work.priority).push(&work, arrival);
        self.earliest_deadline = Some(match self.earliest_deadline {
            Some(earliest) => earliest.min(work.deadline),
            None => work.deadline,
        });
        self.items.insert(work.id, Item { work, arrival });
        replaced.map_or(Push::Added, Push::Replaced)
    }

    fn make_room(&mut self, work: &Work, limit: usize) -> Result<Option<WorkId>, ()> {
        let Some(class) = self.classes.iter().find(|c| c.priority == work.priority) else {
            return Ok(None);
        };
        if class.arrivals.len() < limit {
            return Ok(None);
        }
        let victim = class.victim(work).ok_or(())?;
        self.remove(victim);
        Ok(Some(victim))
    }

    fn class_mut(&mut self, priority: u32) -> &mut Class {
        let at = self
            .classes
            .partition_point(|class| class.priority > priority);
        if self.classes.get(at).is_none_or(|c| c.priority != priority) {
            self.classes.insert(at, Class::new(priority));
        }
        &mut self.classes[at]
    }

    /// Estimated number of requests that will be dispatched before `work`, if no
    /// further work arrives.
    ///
    /// Counts higher classes, the tenant's own earlier deadlines, and other
    /// tenants in proportion to their weights. The starvation share bounds the
    /// result for lower classes.
    pub(crate) fn ahead_of(&self, work: &Work, starvation_share: u32) -> u64 {
        let higher: usize = self
            .classes
            .iter()
            .take_while(|class| class.priority > work.priority)
            .map(|class| class.arrivals.len())
            .sum();
        let same = self
            .classes
            .iter()
            .find(|class| class.priority == work.priority);
        let ahead = higher as u64 + same.map_or(0, |class| class.ahead_of(work));
        if higher == 0 {
            return ahead;
        }
        let lower: usize = self.classes[1..]
            .iter()
            .map(|class| class.arrivals.len())
            .sum();
        ahead.min((lower as u64 + 1) * u64::from(starvation_share))
    }

    /// Removes and returns the work to dispatch next.
    pub(crate) fn pop(&mut self, starvation_share: u32) -> Option<Work> {
        let id = if self.take_lower_turn(starvation_share) {
            self.oldest_lower()?
        } else {
            self.classes.first_mut()?.next_work()
        };
        self.remove(id)
    }

    fn take_lower_turn(&mut self, starvation_share: u32) -> bool {
        if self.classes.len() < 2 {
            self.top_dispatches = 0;
            return false;
        }
        self.top_dispatches += 1;
        if self.top_dispatches < starvation_share.max(2) {
            return false;
        }
        self.top_dispatches = 0;
        true
    }

    fn oldest_lower(&self) -> Option<WorkId> {
        let oldest = self.classes[1..]
            .iter()
            .filter_map(|class| class.arrivals.first())
            .min()?;
        Some(oldest.1)
    }

    /// Removes one request whose deadline is before `limit`.
    pub(crate) fn pop_expired(&mut self, limit: Timestamp) -> Option<WorkId> {
        if self.earliest_deadline? >= limit {
            return None;
        }
        let first = self
            .classes
            .iter()
            .flat_map(|class| &class.tenants)
            .filter_map(|tenant| tenant.queue.first_key_value())
            .min_by_key(|(key, _)| key.0);
        let (&(deadline, _), &id) = first?;
        self.earliest_deadline = Some(deadline);
        if deadline >= limit {
            return None;
        }
        self.remove(id);
        Some(id)
    }

    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Work> {
        let item = self.items.remove(&id)?;
        let at = self
            .classes
            .iter()
            .position(|class| class.priority == item.work.priority)?;
        let class = &mut self.classes[at];
        class.remove(&item);
        if class.arrivals.is_empty() {
            self.classes.remove(at);
        }
        if self.items.is_empty() {
            self.earliest_deadline = None;
        }
        Some(item.work)
    }

    /// Removes all work and returns it in the order of arrival.
    pub(crate) fn drain(&mut self) -> impl Iterator<Item = WorkId> + use<> {
        self.classes.clear();
        self.earliest_deadline = None;
        self.top_dispatches = 0;
        let items = std::mem::take(&mut self.items).into_iter();
        let mut arrived: Vec<_> = items.map(|(id, item)| (item.arrival, id)).collect();
        arrived.sort_unstable();
        arrived.into_iter().map(|(_, id)| id)
    }
}

impl Class {
    fn new(priority: u32) -> Self {
        Self {
            priority,
            arrivals: BTreeSet::new(),
            tenants: Vec::new(),
            next_tenant: 0,
        }
    }

    fn push(&mut self, work: &Work, arrival: u64) {
        self.arrivals.insert((arrival, work.id));
        let weight = u64::from(work.weight.get().max(1));
        let at = match self.tenants.iter().position(|t| t.id == work.tenant) {
            Some(at) => at,
            None => {
                self.tenants.push(Tenant {
                    id: work.tenant.clone(),
                    weight,
                    deficit: 0,
                    queue: BTreeMap::new(),
                });
                self.tenants.len() - 1
            }
        };
        let tenant = &mut self.tenants[at];
        tenant.weight = weight;
        tenant.queue.insert((work.deadline, arrival), work.id);
    }

    /// Selects work by deficit round robin. One request costs the largest weight
    /// present, so that a tenant of that weight gets one request per round and
    /// others less than one, instead of bursts proportional to the weights.
    fn next_work(&mut self) -> WorkId {
        let cost = self.tenants.iter().map(|t| t.weight).max().unwrap_or(1);
        loop {
            if self.next_tenant >= self.tenants.len() {
                self.next_tenant = 0;
            }
            let tenant = &mut self.tenants[self.next_tenant];
            self.next_tenant += 1;
            tenant.deficit += tenant.weight;
            if tenant.deficit < cost {
                continue;
            }
            // The cost falls when the heaviest tenant has no more work. The cap
            // keeps the remaining deficit from causing a burst then.
            tenant.deficit = (tenant.deficit - cost).min(cost - 1);
            if let Some((_, &id)) = tenant.queue.first_key_value() {
                return id;
            }
        }
    }

    fn remove(&mut self, item: &Item) {
        self.arrivals.remove(&(item.arrival, item.work.id));
        let Some(at) = self
            .tenants
            .iter()
            .position(|tenant| tenant.id == item.work.tenant)
        else {
            return;
        };
        let queue = &mut self.tenants[at].queue;
        queue.remove(&(item.work.deadline, item.arrival));
        if queue.is_empty() {
            self.tenants.remove(at);
            if self.next_tenant > at {
                self.next_tenant -= 1;
            }
        }
    }

    fn ahead_of(&self, work: &Work) -> u64 {
        let weight = u64::from(work.weight.get().max(1));
        let own = self.tenants.iter().find(|t| t.id == work.tenant);
        let own_len = own.map_or(0, |t| t.queue.len()) as u64;
        let own_ahead = own.map_or(0, |t| {
            t.queue.range(..=(work.deadline, u64::MAX)).count() as u64
        });
        let others = self.arrivals.len() as u64 - own_len;
        let other_weights: u64 = self
            .tenants
            .iter()
            .filter(|t| t.id != work.tenant)
            .map(|t| t.weight)
            .sum();
        let share = ((own_ahead + 1) * other_weights).div_ceil(weight);
        own_ahead + others.min(share)
    }

    /// The request to evict from a full class in favour of `work`: the latest
    /// deadline of the tenant with the most work relative to its weight, if that
    /// is more than the tenant of `work` would have.
    fn victim(&self, work: &Work) -> Option<WorkId> {
        let weight = u64::from(work.weight.get().max(1));
        let own = self.tenants.iter().find(|t| t.id == work.tenant);
        let own_len = own.map_or(0, |t| t.queue.len()) as u64 + 1;
        let load = |t: &Tenant| t.queue.len() as f64 / t.weight as f64;
        let tenant = self
            .tenants
            .iter()
            .max_by(|a, b| load(a).total_cmp(&load(b)))?;
        let longer = tenant.queue.len() as u64 * weight > own_len * tenant.weight;
        if !longer || tenant.id == work.tenant {
            return None;
        }
        tenant.queue.last_key_value().map(|(_, &id)| id)
    }
}
