//! What a hosting platform publishes, in the product's own terms: the plan of its routes, the
//! roster of its targets, and the feed that both arrive by.
//!
//! An adapter decodes the platform's texts into these types; nothing here knows their format.

pub mod feed;
pub mod plan;
pub mod registry;
pub mod rule;
