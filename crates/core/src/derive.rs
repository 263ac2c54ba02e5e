/// Derives the traits of a plain data type.
#[macro_export]
macro_rules! data {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )+
    };
}

/// Derives the traits of a small `Copy` key.
#[macro_export]
macro_rules! key {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )+
    };
}
