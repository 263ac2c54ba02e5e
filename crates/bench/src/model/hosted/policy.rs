//! How a VM of the model places calls.

/// A policy under which calls are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's placer.
    Product,
    /// The target with the fewest calls of the VM in flight, without a limit.
    Fewest,
    /// A central queue in each region that knows the state of every target at this moment, which no
    /// VM can.
    Perfect,
    /// The same over the targets of all regions.
    Global,
}

impl Policy {
    /// Name in the output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Fewest => "fewest",
            Self::Perfect => "perfect",
            Self::Global => "global",
        }
    }
}
