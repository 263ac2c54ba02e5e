//! Transfer of large texts between VMs.
//!
//! A large text is offered by its key and mark alone. A VM that lacks it fetches it from one of the
//! VMs that offered it, compressed and in parts, so that it crosses each link at most once and other
//! messages pass between its parts. A VM offers a text as soon as it has the first part, and serves
//! the parts that it has.

mod pack;

use crate::catalogue::Catalogue;
use crate::catalogue::Mark;
use crate::gossip::Link;
use crate::map::Map;
use crate::message::Fetch;
use crate::message::Part;
use crate::time::Instant;
use crate::time::Span;

/// Length from which a text is offered instead of sent.
pub const LARGE_TEXT_BYTES: usize = 16_384;
/// Most bytes of a part. A message waits for at most one part of each link that shares its way.
pub const PART_BYTES: usize = 16_384;
/// Most texts that a VM fetches at once; others are offered again by a repair.
const MAX_DOWNLOADS: usize = 64;
/// Time without a part after which another VM is asked.
const STALL_AFTER: Span = Span::from_millis(600);
/// VMs asked in vain after which a download is given up; a repair starts it again.
const MAX_STALLS: u32 = 16;

/// A text that is being fetched.
#[derive(Debug)]
struct Download {
    mark: Mark,
    /// Compressed bytes so far.
    bytes: Vec<u8>,
    /// Length of the compressed text, once a part stated it.
    total: Option<u64>,
    /// The link that the next part is expected from.
    source: Link,
    /// All links whose VMs offered the text.
    sources: Vec<Link>,
    progressed: Instant,
    stalls: u32,
    /// Peers that wait for the part at an offset.
    waiting: Vec<(Link, u64)>,
}

/// A compressed text, as it is sent.
#[derive(Debug)]
struct Packed {
    mark: Mark,
    bytes: Box<[u8]>,
    /// Whether it was offered to the peers.
    offered: bool,
}

/// What a part means for its download.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The part is not expected.
    Ignored,
    /// More parts follow: the next one is to be requested. The first part makes the text available
    /// to others, except to the VMs of these links, which have offered it.
    More(Fetch, Option<Vec<Link>>),
    /// The text is whole.
    Whole(Box<str>),
    /// The parts do not make up the text that was offered.
    Damaged,
}

/// Downloads of this VM, and compressed texts for its peers.
#[derive(Debug, Default)]
pub(crate) struct Table {
    downloads: Map<Box<str>, Download>,
    packed: Map<Box<str>, Packed>,
}

impl Download {
    fn new(now: Instant, link: Link, mark: Mark) -> Self {
        Self {
            mark,
            bytes: Vec::new(),
            total: None,
            source: link,
            sources: vec![link],
            progressed: now,
            stalls: 0,
            waiting: Vec::new(),
        }
    }

    fn fetch(&self, key: &str) -> Fetch {
        Fetch {
            key: key.into(),
            mark: self.mark,
            offset: self.bytes.len() as u64,
        }
    }

    /// Turns to the next VM that offered the text. Returns false if there is none.
    fn switch_source(&mut self, now: Instant) -> bool {
        let position = self.sources.iter().position(|link| *link == self.source);
        let next = position.map_or(0, |position| position + 1);
        let Some(source) = self.sources.get(next % self.sources.len().max(1)) else {
            return false;
        };
        self.source = *source;
        self.progressed = now;
        true
    }

    fn is_stalled(&self, now: Instant) -> bool {
        now.since(self.progressed) >= STALL_AFTER
    }
}

impl Table {
    /// Records that the peer of `link` offers a text that this VM lacks. Returns the request for its
    /// first part, unless the text is already being fetched.
    pub(crate) fn record_offer(
        &mut self,
        now: Instant,
        link: Link,
        key: &str,
        mark: Mark,
    ) -> Option<Fetch> {
        if let Some(download) = self.downloads.get_mut(key)
            && download.mark >= mark
        {
            if download.mark == mark && !download.sources.contains(&link) {
                download.sources.push(link);
            }
            return None;
        }
        if self.downloads.len() >= MAX_DOWNLOADS && !self.downloads.contains_key(key) {
            return None;
        }
        let download = Download::new(now, link, mark);
        let fetch = download.fetch(key);
        self.downloads.insert(key.into(), download);
        Some(fetch)
    }

    /// Takes a part that the peer of `link` sent.
    pub(crate) fn record_part(&mut self, now: Instant, link: Link, part: &Part) -> Progress {
        let Some(download) = self.downloads.get_mut(&part.key) else {
            return Progress::Ignored;
        };
        let is_expected = download.mark == part.mark && download.bytes.len() as u64 == part.offset;
        if !is_expected || part.bytes.is_empty() || part.total > pack::MAX_BYTES {
            return Progress::Ignored;
        }
        // The same text compressed by another release can have another length.
        if download.total.is_some_and(|total| total != part.total) {
            self.downloads.remove(&part.key);
            return Progress::Damaged;
        }
        let is_first = download.total.is_none();
        download.total = Some(part.total);
        download.bytes.extend_from_slice(&part.bytes);
        download.source = link;
        download.progressed = now;
        download.stalls = 0;
        if (download.bytes.len() as u64) < part.total {
            let sources = is_first.then(|| download.sources.clone());
            return Progress::More(download.fetch(&part.key), sources);
        }
        self.complete(&part.key, !is_first)
    }

    /// Completes a download whose last part has arrived. `offered` states whether its first part was
    /// offered to the peers.
    fn complete(&mut self, key: &str, offered: bool) -> Progress {
        let Some(download) = self.downloads.get_mut(key) else {
            return Progress::Ignored;
        };
        let bytes: Box<[u8]> = std::mem::take(&mut download.bytes).into();
        let mark = download.mark;
        let Some(text) = pack::unpack(&bytes, mark) else {
            self.downloads.remove(key);
            return Progress::Damaged;
        };
        let packed = Packed {
            mark,
            bytes,
            offered,
        };
        self.packed.insert(key.into(), packed);
        Progress::Whole(text)
    }

    /// Whether the text of `key` with `mark` was offered to the peers.
    pub(crate) fn is_offered(&self, key: &str, mark: Mark) -> bool {
        let packed = self.packed.get(key);
        packed.is_some_and(|packed| packed.mark == mark && packed.offered)
    }

    /// The requested part. None if this VM lacks the text, or receives the part itself later: then
    /// the peer gets it from [`Table::take_waiting`].
    pub(crate) fn part(
        &mut self,
        catalogue: &Catalogue,
        link: Link,
        fetch: &Fetch,
    ) -> Option<Part> {
        if self.packed.get(&fetch.key).map(|packed| packed.mark) != Some(fetch.mark)
            && let Some(text) = catalogue.text_of(&fetch.key, fetch.mark)
        {
            self.pack(&fetch.key, fetch.mark, text);
        }
        if let Some(packed) = self.packed.get(&fetch.key)
            && packed.mark == fetch.mark
        {
            let total = packed.bytes.len() as u64;
            return slice(fetch, &packed.bytes, total);
        }
        let download = self.downloads.get_mut(&fetch.key)?;
        if download.mark != fetch.mark {
            return None;
        }
        let found = download
            .total
            .and_then(|total| slice(fetch, &download.bytes, total));
        if found.is_none() {
            download.waiting.retain(|(waiting, _)| *waiting != link);
            download.waiting.push((link, fetch.offset));
        }
        found
    }

    /// Compresses a text that is offered to the peers, unless it is compressed.
    pub(crate) fn pack(&mut self, key: &str, mark: Mark, text: &str) {
        if let Some(packed) = self.packed.get_mut(key)
            && packed.mark == mark
        {
            packed.offered = true;
            return;
        }
        let packed = Packed {
            mark,
            bytes: pack::pack(text),
            offered: true,
        };
        self.packed.insert(key.into(), packed);
    }

    /// Ends the download of `key` if it is of `mark` or an older one. Returns the peers that wait
    /// for a part of exactly this text.
    pub(crate) fn finish(&mut self, key: &str, mark: Mark) -> Vec<(Link, Fetch)> {
        if let Some(packed) = self.packed.get(key)
            && packed.mark < mark
        {
            self.packed.remove(key);
        }
        let download = self.downloads.remove(key);
        match download {
            Some(download) if download.mark > mark => {
                self.downloads.insert(key.into(), download);
                Vec::new()
            }
            Some(download) => requests(key, &download, |_| download.mark == mark),
            None => Vec::new(),
        }
    }

    /// The peers whose requests the bytes so far can answer; they no longer wait.
    pub(crate) fn take_waiting(&mut self, key: &str) -> Vec<(Link, Fetch)> {
        let Some(download) = self.downloads.get_mut(key) else {
            return Vec::new();
        };
        let available = download.bytes.len() as u64;
        let ready = requests(key, download, |offset| offset < available);
        download.waiting.retain(|(_, offset)| *offset >= available);
        ready
    }

    /// Requests to other VMs for downloads that have stalled.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<(Link, Fetch)> {
        let mut requests = Vec::new();
        self.downloads.retain(|key, download| {
            if !download.is_stalled(now) {
                return true;
            }
            download.stalls += 1;
            let goes_on = download.stalls <= MAX_STALLS && download.switch_source(now);
            if goes_on {
                requests.push((download.source, download.fetch(key)));
            }
            goes_on
        });
        requests
    }

    /// Forgets a link. Downloads over it go on with another VM; the requests are returned.
    pub(crate) fn remove_link(&mut self, now: Instant, link: Link) -> Vec<(Link, Fetch)> {
        let mut requests = Vec::new();
        self.downloads.retain(|key, download| {
            download.waiting.retain(|(waiting, _)| *waiting != link);
            download.sources.retain(|source| *source != link);
            if download.source != link {
                return true;
            }
            let goes_on = download.switch_source(now);
            if goes_on {
                requests.push((download.source, download.fetch(key)));
            }
            goes_on
        });
        requests
    }
}

/// The requests of the peers that wait for `download`, for the offsets that `is_ready` selects.
fn requests(key: &str, download: &Download, is_ready: impl Fn(u64) -> bool) -> Vec<(Link, Fetch)> {
    let waiting = download.waiting.iter();
    waiting
        .filter(|(_, offset)| is_ready(*offset))
        .map(|(link, offset)| {
            let fetch = Fetch {
                key: key.into(),
                mark: download.mark,
                offset: *offset,
            };
            (*link, fetch)
        })
        .collect()
}

/// The part of `bytes` that is requested; none if it is not there yet.
fn slice(fetch: &Fetch, bytes: &[u8], total: u64) -> Option<Part> {
    let start = usize::try_from(fetch.offset).ok()?;
    let rest = bytes.get(start..).filter(|rest| !rest.is_empty())?;
    Some(Part {
        key: fetch.key.clone(),
        mark: fetch.mark,
        offset: fetch.offset,
        total,
        bytes: rest[..rest.len().min(PART_BYTES)].into(),
    })
}
