//! Parts of the experiment on the cost of the control plane.

pub mod line;
pub mod load;
pub mod memory;
pub mod number;
pub mod setup;
