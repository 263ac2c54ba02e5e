//! Offers and downloads of large texts over the links of this VM.

use crate::catalogue;
use crate::gossip::Action;
use crate::gossip::Context;
use crate::gossip::Delivery;
use crate::gossip::Gossip;
use crate::gossip::Link;
use crate::gossip::reply;
use crate::message::Content;
use crate::message::Entries;
use crate::message::Fetch;
use crate::message::Message;
use crate::message::Offer;
use crate::message::Offers;
use crate::message::Part;
use crate::peer::Peer;
use crate::transfer::LARGE_TEXT_BYTES;
use crate::transfer::Progress;

impl Gossip {
    /// Pushes new contents to the peers: small ones whole, large ones as offers.
    pub(crate) fn push_contents(
        &mut self,
        from: Option<Link>,
        contents: Vec<Content>,
    ) -> Vec<Action> {
        let offers = self.pack_offers(&contents);
        let small = contents.iter().filter(|content| !is_large(content));
        let small: Vec<Content> = small.cloned().collect();
        let except: Vec<Link> = from.into_iter().collect();
        let entries = |contents| Message::Entries(Entries { contents });
        let mut actions = Vec::new();
        if !small.is_empty() {
            let links = self.links_with(Delivery::Offered, &except);
            actions.extend(send(links, entries(small)));
        }
        if !offers.is_empty() {
            let links = self.links_with(Delivery::Offered, &except);
            actions.extend(send(links, Message::Offers(Offers { offers })));
        }
        if !contents.is_empty() {
            let links = self.links_with(Delivery::Whole, &except);
            actions.extend(send(links, entries(contents)));
        }
        actions
    }

    /// Offers of the large contents that the peers were not offered yet, whose texts are compressed.
    fn pack_offers(&mut self, contents: &[Content]) -> Vec<Offer> {
        let mut offers = Vec::new();
        for content in contents.iter().filter(|content| is_large(content)) {
            let text = content.text.as_deref().unwrap_or_default();
            let mark = catalogue::mark(content.version, Some(text));
            if !self.transfers.is_offered(&content.key, mark) {
                self.transfers.pack(&content.key, mark, text);
                let key = content.key.clone();
                offers.push(Offer { key, mark });
            }
        }
        offers
    }

    /// The links that updates are pushed over and whose peers get large texts by `delivery`, without
    /// those of `except`.
    fn links_with(&self, delivery: Delivery, except: &[Link]) -> Vec<Link> {
        let takes =
            |(link, peer): &(Link, &Peer)| peer.delivery == delivery && !except.contains(link);
        let peers = self.push_peers().filter(takes);
        peers.map(|(link, _)| link).collect()
    }

    /// Fetches what the peer of `link` offers and this VM lacks.
    pub(crate) fn handle_offers(
        &mut self,
        context: &Context,
        link: Link,
        offers: &Offers,
    ) -> Vec<Action> {
        if self.is_waiting_for_local_catalogue(context, link) {
            return Vec::new();
        }
        let mut fetches = Vec::new();
        for offer in &offers.offers {
            if context.catalogue.lacks(&offer.key, offer.mark) {
                let fetch = self
                    .transfers
                    .record_offer(context.now, link, &offer.key, offer.mark);
                fetches.extend(fetch.map(|fetch| (link, fetch)));
            }
        }
        send_fetches(fetches)
    }

    /// Sends the part that the peer of `link` requests, if this VM has it.
    pub(crate) fn handle_fetch(
        &mut self,
        context: &Context,
        link: Link,
        fetch: &Fetch,
    ) -> Vec<Action> {
        let part = self.transfers.part(context.catalogue, link, fetch);
        reply(link, part.map(Message::Part))
    }

    /// Sends parts to the peers that wait for them.
    pub(crate) fn send_parts(
        &mut self,
        context: &Context,
        requests: Vec<(Link, Fetch)>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (link, fetch) in requests {
            actions.extend(self.handle_fetch(context, link, &fetch));
        }
        actions
    }

    /// Takes a part of a text, and requests the next one or offers the whole text to the catalogue.
    pub(crate) fn handle_part(
        &mut self,
        context: &mut Context,
        link: Link,
        part: &Part,
    ) -> Vec<Action> {
        match self.transfers.record_part(context.now, link, part) {
            Progress::Ignored => Vec::new(),
            Progress::More(fetch, offered_by) => {
                let mut actions = send_fetches([(link, fetch)]);
                if let Some(except) = offered_by {
                    let links = self.links_with(Delivery::Offered, &except);
                    let (key, mark) = (part.key.clone(), part.mark);
                    let offers = vec![Offer { key, mark }];
                    actions.extend(send(links, Message::Offers(Offers { offers })));
                }
                let waiting = self.transfers.take_waiting(&part.key);
                actions.extend(self.send_parts(context, waiting));
                actions
            }
            Progress::Whole(text) => {
                let whole = Content {
                    key: part.key.clone(),
                    version: part.mark.version,
                    text: Some(text),
                };
                let actions = self.offer(context, Some(link), vec![whole]);
                // A text that the catalogue refused is not fetched again.
                self.transfers.finish(&part.key, part.mark);
                actions
            }
            Progress::Damaged => {
                let source = self.source(Some(link), "own");
                context.record_change("transfer", &part.key, &source, "parts of different texts");
                Vec::new()
            }
        }
    }
}

fn is_large(content: &Content) -> bool {
    let bytes = content.text.as_deref().map_or(0, str::len);
    bytes >= LARGE_TEXT_BYTES
}

fn send(links: Vec<Link>, message: Message) -> Option<Action> {
    (!links.is_empty()).then_some(Action::Send(links, message))
}

/// Sends requests for parts over their links.
pub(crate) fn send_fetches(fetches: impl IntoIterator<Item = (Link, Fetch)>) -> Vec<Action> {
    let fetches = fetches.into_iter();
    fetches
        .map(|(link, fetch)| Action::Send(vec![link], Message::Fetch(fetch)))
        .collect()
}
