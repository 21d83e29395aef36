//! Tracks the evacuated zones that the store lists, and which of them it may lack after it was
//! restored from a backup.

use jasminepond_forward::EvacuatedZones;

/// What is known of the evacuated zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: EvacuatedZones,
    /// Those of them that were not seen in the store since it was restored. They stay in
    /// force until a listing of the settled store decides.
    unconfirmed: EvacuatedZones,
    /// Those in the current listing.
    listed: EvacuatedZones,
}

impl Evacuations {
    pub(crate) fn zones(&self) -> &EvacuatedZones {
        &self.zones
    }

    /// Handles the key of a zone that was written or listed. Returns whether it is news.
    pub(crate) fn on_key(&mut self, zone: &str) -> bool {
        self.listed.insert(zone);
        self.unconfirmed.remove(zone);
        self.zones.insert(zone)
    }

    /// Handles the removal of the key of a zone. Returns whether it is news.
    pub(crate) fn on_key_removed(&mut self, zone: &str) -> bool {
        self.listed.remove(zone);
        self.unconfirmed.remove(zone);
        self.zones.remove(zone)
    }

    /// Begins a listing of all keys.
    pub(crate) fn start_listing(&mut self) {
        self.listed = EvacuatedZones::default();
    }

    /// Ends a listing. If the store has `settled`, the zones that were not listed are no
    /// longer evacuated. Returns whether that is news.
    pub(crate) fn end_listing(&mut self, settled: bool) -> bool {
        let listed = std::mem::take(&mut self.listed);
        if !settled {
            let missing = self.zones.iter().filter(|zone| !listed.contains(zone));
            self.unconfirmed = missing.cloned().collect();
            return false;
        }
        self.unconfirmed = EvacuatedZones::default();
        let is_news = self.zones != listed;
        self.zones = listed;
        is_news
    }

    /// Replaces the zones by those that a daemon with a settled state knows. Returns whether
    /// that is news.
    pub(crate) fn replace(&mut self, zones: EvacuatedZones) -> bool {
        self.start_listing();
        let added = zones
            .iter()
            .fold(false, |news, zone| self.on_key(zone) | news);
        self.end_listing(true) | added
    }

    /// Adds zones that another daemon knows and the restored store may lack. Returns whether
    /// any is news.
    pub(crate) fn add_unconfirmed(&mut self, zones: &EvacuatedZones) -> bool {
        let mut is_news = false;
        for zone in zones.iter() {
            if self.zones.insert(zone) {
                self.unconfirmed.insert(zone);
                is_news = true;
            }
        }
        is_news
    }

    /// Notes that the store may lack keys because it was restored from a backup.
    pub(crate) fn doubt(&mut self) {
        self.unconfirmed = self.zones.clone();
    }

    /// Whether the keys must be listed again once the store has settled.
    pub(crate) fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }
}
