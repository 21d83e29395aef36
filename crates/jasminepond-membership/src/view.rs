//! The local view of the membership.

use std::sync::Arc;

use jasminepond_types::InstanceId;

use crate::{Member, MemberState};

/// The members known to this daemon, including itself, ordered by instance.
///
/// Cloning copies one pointer per member, so it is cheap enough to give a task a
/// copy on each change.
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
    /// Creates a view of the given members, for tests and simulations.
    pub fn from_members(members: impl IntoIterator<Item = Member>) -> Self {
        let mut view = Self::default();
        for member in members {
            view.put(member);
        }
        view
    }

    /// Counter that increases with each change other than to a member's
    /// configuration version.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Counter that increases with each change of a member's configuration
    /// version.
    pub fn config_generation(&self) -> u64 {
        self.config_generation
    }

    /// All members, ordered by instance.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Members in the given state.
    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &Arc<Member>> {
        self.members.iter().filter(move |m| m.state == state)
    }

    /// The member that runs on an instance.
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

    /// Inserts a record, replacing a known one regardless of rank. Meant for
    /// tests and simulations; [`Membership`](crate::Membership) merges records
    /// before it calls this.
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
        let with_new_config = Member {
            config: member.config,
            ..Member::clone(old)
        };
        if with_new_config != member {
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
