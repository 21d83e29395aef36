//! Placeholder replaced by the module's real content.
