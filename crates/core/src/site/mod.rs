//! What a hosting platform publishes, in the product's own terms: the plan with its rules, the
//! registry of targets, and the reading session that brings both.
//!
//! An adapter decodes the platform's texts into these types; nothing here knows their format.

pub mod directory;
pub mod feed;
pub mod freshness;
pub mod plan;
pub mod region;
pub mod registry;
pub mod rule;
pub mod withdrawn;
