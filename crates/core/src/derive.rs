//! Macros that derive the traits shared by many types of the core.

/// Derives the traits of plain data types: `Clone`, `Debug` and equality.
#[macro_export]
macro_rules! data {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )+
    };
}

/// Derives the traits of small `Copy` types that can be map keys: equality, order and hash.
#[macro_export]
macro_rules! key {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )+
    };
}
