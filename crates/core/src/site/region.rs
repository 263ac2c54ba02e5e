//! Regions in which the requests of a rule may run.

use std::sync::Arc;

use crate::member::hash;

key! {
    /// Stands for the name of a region where names are compared often.
    pub struct Key(u64);
}

impl Key {
    /// The key of a name: a part of its SHA-256, which tells apart the few regions of a fleet.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(hash(&[name.as_bytes()]))
    }
}

data! {
    /// The regions whose targets a request may reach.
    #[derive(Default)]
    pub struct Scope(Option<Arc<[Member]>>);

    /// A region of a scope.
    struct Member {
        name: Box<str>,
        key: Key,
    }
}

impl Scope {
    /// All regions.
    pub const ANY: Self = Self(None);

    /// The regions of these names alone. No name means no region.
    pub fn only<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut members: Vec<Member> = names
            .into_iter()
            .map(|name| Member {
                name: name.into(),
                key: Key::of(name),
            })
            .collect();
        members.sort_by(|left, right| left.name.cmp(&right.name));
        members.dedup();
        Self(Some(members.into()))
    }

    /// Whether it leaves out any region.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Whether targets of the region may be reached.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        let members = self.0.as_ref();
        members.is_none_or(|members| members.iter().any(|member| *member.name == *region))
    }

    /// Whether targets of the region with this key may be reached.
    #[must_use]
    pub fn includes(&self, region: Key) -> bool {
        let members = self.0.as_ref();
        members.is_none_or(|members| members.iter().any(|member| member.key == region))
    }

    /// The regions that this one and `other` allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match &self.0 {
            None => other.clone(),
            Some(_) => Self::only(self.names().filter(|name| other.allows(name))),
        }
    }

    /// The names of the regions, in order; none if it is not restricted.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let members = self.0.iter().flat_map(|members| members.iter());
        members.map(|member| &*member.name)
    }
}
