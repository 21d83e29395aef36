//! The members as this daemon sees them.

use std::sync::Arc;

use jasminepond_types::InstanceId;

use crate::{Member, MemberState};

/// The members known to this daemon, itself included, ordered by instance.
///
/// Cloning copies one pointer per member, so that a task can be handed a copy
/// on each change.
///
/// ```
/// use jasminepond_membership::View;
///
/// let view = View::default();
/// assert!(view.is_empty());
/// assert_eq!(view.generation(), 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    members: Vec<Arc<Member>>,
    generation: u64,
    config_generation: u64,
}

impl View {
    /// A view of the given members, for tests and simulations.
    pub fn from_members(members: impl IntoIterator<Item = Member>) -> Self {
        let mut view = Self::default();
        for member in members {
            view.put(member);
        }
        view
    }

    /// Rises with each change of a member other than its revision.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Rises with each change of a member's configuration revision.
    pub fn config_generation(&self) -> u64 {
        self.config_generation
    }

    /// All members in order of instance.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Members in the given state.
    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &Arc<Member>> {
        self.members.iter().filter(move |m| m.state == state)
    }

    /// The member on an instance.
    pub fn get(&self, instance: &InstanceId) -> Option<&Arc<Member>> {
        let at = self.position(instance).ok()?;
        Some(&self.members[at])
    }

    /// Number of members in any state.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn position(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.instance.cmp(instance))
    }

    /// Stores a record in place of the one known, whatever its rank. For tests
    /// and simulations; [`Membership`](crate::Membership) merges records.
    pub fn put(&mut self, member: Member) {
        match self.position(&member.instance) {
            Ok(at) => self.replace(at, member),
            Err(at) => {
                self.members.insert(at, Arc::new(member));
                self.generation += 1;
            }
        }
    }

    fn replace(&mut self, at: usize, member: Member) {
        let old = &self.members[at];
        if old.config != member.config {
            self.config_generation += 1;
        }
        let same = Member {
            config: member.config,
            ..Member::clone(old)
        };
        if same != member {
            self.generation += 1;
        }
        self.members[at] = Arc::new(member);
    }

    pub(crate) fn remove(&mut self, instance: &InstanceId) {
        if let Ok(at) = self.position(instance) {
            self.members.remove(at);
            self.generation += 1;
        }
    }
}
