//! Tests of the transfer of large texts between VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;

use oriolecleat_core::audit::Ring;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Opaque;
use oriolecleat_core::catalogue::Order;
use oriolecleat_core::catalogue::Record;
use oriolecleat_core::gossip::Action;
use oriolecleat_core::gossip::Context;
use oriolecleat_core::gossip::Delivery;
use oriolecleat_core::gossip::Gossip;
use oriolecleat_core::gossip::Link;
use oriolecleat_core::gossip::Remote;
use oriolecleat_core::member;
use oriolecleat_core::member::State;
use oriolecleat_core::message::Content;
use oriolecleat_core::message::Fetch;
use oriolecleat_core::message::Message;
use oriolecleat_core::message::Offer;
use oriolecleat_core::message::Offers;
use oriolecleat_core::message::Part;
use oriolecleat_core::reader::Reader;
use oriolecleat_core::settings::View;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const KEY: &str = "plan";
/// Time in which a VM turns to another one that offered a text.
const STALL: Span = Span::from_millis(1_000);

/// One VM under test.
struct Vm {
    name: &'static str,
    gossip: Gossip,
    catalogue: Catalogue,
    audit: Ring,
    reader: Reader,
    random: SmallRng,
    now: Instant,
}

impl Vm {
    fn new(name: &'static str) -> Self {
        let now = Instant::from_micros(1_000_000);
        let mut random = SmallRng::seed_from_u64(1);
        let address: SocketAddr = ([10, 0, 0, 1], 7_000).into();
        let record = member::Record {
            vm: name.into(),
            incarnation: 1,
            sequence: 0,
            state: State::Alive,
            caller: address,
            directory: address,
            peer: address,
            region: "r".into(),
            data_center: "d".into(),
            uptime_ms: 0,
            build: "0".into(),
            capacity: 24,
        };
        let view = View {
            stale_after: Span::from_millis(30_000),
            takeover_after: Span::from_millis(10_000),
            peer_wait: Span::from_millis(1_000),
            readers_per_data_center: 2,
        };
        Self {
            name,
            gossip: Gossip::new(now, record, Vec::new(), Span::from_millis(60_000)),
            catalogue: Catalogue::with_opaque(vec![Opaque {
                prefix: KEY.into(),
                order: Order::Era,
            }]),
            audit: Ring::new(name, 1),
            reader: Reader::new(now, view, &mut random),
            random,
            now,
        }
    }

    fn act(&mut self, event: impl FnOnce(&mut Gossip, &mut Context) -> Vec<Action>) -> Vec<Sent> {
        let mut context = Context {
            now: self.now,
            wall_ms: 0,
            catalogue: &mut self.catalogue,
            audit: &mut self.audit,
            reader: &mut self.reader,
            random: &mut self.random,
        };
        let actions = event(&mut self.gossip, &mut context);
        let sent = actions.into_iter().filter_map(|action| match action {
            Action::Send(links, message) => Some((links, message)),
            _ => None,
        });
        sent.filter(|(_, message)| is_transfer(message)).collect()
    }

    /// Adds a link to a peer of the given name.
    fn link(&mut self, link: u64, peer: &str, delivery: Delivery) {
        let remote = Remote {
            vm: peer.into(),
            incarnation: 1,
            data_center: "d".into(),
            dialled: None,
            delivery,
        };
        self.act(|gossip, context| gossip.add_link(context, Link(link), remote));
    }

    fn receive(&mut self, link: u64, message: Message) -> Vec<Sent> {
        self.act(|gossip, context| gossip.receive(context, Link(link), message))
    }

    fn publish(&mut self, revision: u64, text: &str) -> Vec<Sent> {
        let contents = vec![content(revision, text)];
        self.act(|gossip, context| gossip.publish(context, contents))
    }

    fn text(&self) -> Option<&str> {
        self.catalogue.text(KEY)
    }
}

type Sent = (Vec<Link>, Message);

fn is_transfer(message: &Message) -> bool {
    matches!(
        message,
        Message::Entries(_) | Message::Offers(_) | Message::Fetch(_) | Message::Part(_)
    )
}

fn version(revision: u64) -> Version {
    Version {
        generation: 0,
        revision,
    }
}

fn content(revision: u64, text: &str) -> Content {
    Content {
        key: KEY.into(),
        version: version(revision),
        text: Some(text.into()),
    }
}

/// A text that takes several parts, or one part if it is `repeated`.
fn text(bytes: usize, repeated: bool) -> String {
    let mut random = SmallRng::seed_from_u64(7);
    let letter = |random: &mut SmallRng| {
        let letter = if repeated { 0 } else { random.next_u32() % 26 };
        char::from(b'a' + u8::try_from(letter).expect("a letter"))
    };
    (0..bytes).map(|_| letter(&mut random)).collect()
}

/// Delivers messages between VMs that are linked by the positions in `links` until none is left.
/// Returns the number of parts that were sent.
fn settle(vms: &mut [Vm], links: &[(u64, usize, usize)], first: Vec<(usize, Sent)>) -> usize {
    let mut queue: VecDeque<(usize, Sent)> = first.into();
    let mut parts = 0;
    while let Some((from, (over, message))) = queue.pop_front() {
        for link in over {
            let (_, left, right) = links.iter().find(|(id, ..)| *id == link.0).expect("a link");
            let to = if *left == from { *right } else { *left };
            parts += usize::from(matches!(message, Message::Part(_)));
            let sent = vms[to].receive(link.0, message.clone());
            queue.extend(sent.into_iter().map(|sent| (to, sent)));
        }
    }
    parts
}

/// A chain of VMs, each linked to the next one.
fn chain(names: &[&'static str]) -> (Vec<Vm>, Vec<(u64, usize, usize)>) {
    let mut vms: Vec<Vm> = names.iter().map(|name| Vm::new(name)).collect();
    let mut links = Vec::new();
    for left in 1..vms.len() {
        let id = left as u64;
        let (near, far) = (vms[left - 1].name, vms[left].name);
        vms[left - 1].link(id, far, Delivery::Offered);
        vms[left].link(id, near, Delivery::Offered);
        links.push((id, left - 1, left));
    }
    (vms, links)
}

struct Case {
    name: &'static str,
    text: String,
}

fn cases() -> [Case; 2] {
    [
        Case {
            name: "several parts",
            text: text(100_000, false),
        },
        Case {
            name: "one part",
            text: text(100_000, true),
        },
    ]
}

// Guards against a text that does not pass a VM which received it, or crosses a link twice.
#[test]
fn a_text_passes_a_chain_of_vms_once_over_each_link() {
    for case in cases() {
        let (mut vms, links) = chain(&["a", "b", "c", "d"]);
        let first = vms[0].publish(1, &case.text);
        let sent = settle(
            &mut vms,
            &links,
            first.into_iter().map(|sent| (0, sent)).collect(),
        );
        for vm in &vms {
            assert_eq!(vm.text(), Some(&*case.text), "{} at {}", case.name, vm.name);
        }
        assert_eq!(
            sent % links.len(),
            0,
            "{}: {sent} parts over three links",
            case.name
        );
        assert!(sent >= links.len(), "{}", case.name);
    }
}

// Guards against a VM that offers a text only when it has it whole: the delays of all VMs on the
// way would add up.
#[test]
fn a_text_is_offered_and_served_before_it_is_whole() {
    let (mut vms, _) = chain(&["a", "b", "c"]);
    let [a, b, c] = &mut vms[..] else {
        panic!("three VMs");
    };
    let offers = a.publish(1, &text(100_000, false));
    let fetch = b.receive(1, offers[0].1.clone());
    let part = a.receive(1, fetch[0].1.clone());
    let sent = b.receive(1, part[0].1.clone());
    let offer = sent
        .iter()
        .find(|(links, _)| *links == [Link(2)])
        .expect("an offer to c");
    let fetch = c.receive(2, offer.1.clone());
    let served = b.receive(2, fetch[0].1.clone());
    assert!(matches!(served[0].1, Message::Part(_)), "{served:?}");
    assert_eq!(b.text(), None);
    // The next part is not there yet: it is sent when it arrives.
    let next = c.receive(2, served[0].1.clone());
    assert_eq!(b.receive(2, next[0].1.clone()), Vec::new());
    let fetch = sent
        .iter()
        .find(|(links, _)| *links == [Link(1)])
        .expect("a request to a");
    let part = a.receive(1, fetch.1.clone());
    let sent = b.receive(1, part[0].1.clone());
    let is_part =
        |(links, message): &Sent| *links == [Link(2)] && matches!(message, Message::Part(_));
    assert!(sent.iter().any(is_part), "{sent:?}");
}

// Guards against a download that waits for ever for a VM that froze or whose link ended.
#[test]
fn a_download_goes_on_with_another_vm() {
    for loses_link in [false, true] {
        let text = text(100_000, false);
        let mut owner = Vm::new("a");
        owner.link(2, "b", Delivery::Offered);
        let offers = owner.publish(1, &text);
        let mut vm = Vm::new("b");
        for link in [1, 2] {
            vm.link(link, if link == 1 { "c" } else { "a" }, Delivery::Offered);
        }
        let fetch = vm.receive(1, offers[0].1.clone());
        assert_eq!(fetch[0].0, [Link(1)]);
        assert_eq!(vm.receive(2, offers[0].1.clone()), Vec::new());
        let again = if loses_link {
            vm.act(|gossip, context| gossip.remove_link(context, Link(1)))
        } else {
            vm.now = vm.now + STALL;
            vm.act(Gossip::tick)
        };
        assert_eq!(again[0].0, [Link(2)], "{again:?}");
        let mut vms = [owner, vm];
        settle(&mut vms, &[(2, 0, 1)], vec![(1, again[0].clone())]);
        assert_eq!(vms[1].text(), Some(&*text));
    }
}

// Guards against a text that is put together from parts of different texts, and against a VM that
// never fetches a text again after that.
#[test]
fn damaged_parts_make_no_text() {
    let (mut vms, links) = chain(&["a", "b"]);
    let text = text(60_000, false);
    let offers = vms[0].publish(1, &text);
    let fetch = vms[1].receive(1, offers[0].1.clone());
    let part = vms[0].receive(1, fetch[0].1.clone());
    let Message::Part(part) = part[0].1.clone() else {
        panic!("a part");
    };
    let flipped = Part {
        bytes: part.bytes.iter().map(|byte| !byte).collect(),
        ..part.clone()
    };
    let longer = Part {
        offset: part.bytes.len() as u64,
        total: part.total + 1,
        ..part.clone()
    };
    let whole = Part {
        total: part.bytes.len() as u64,
        ..part.clone()
    };
    let huge = Part {
        total: u64::MAX,
        ..part.clone()
    };
    let mut other = Vm::new("c");
    other.link(1, "b", Delivery::Offered);
    let offers_of_other = other.publish(1, &self::text(20_000, true));
    let Message::Offers(of_other) = &offers_of_other[0].1 else {
        panic!("offers");
    };
    let fetch = Fetch {
        key: KEY.into(),
        mark: of_other.offers[0].mark,
        offset: 0,
    };
    let sent = other.receive(1, Message::Fetch(fetch));
    let Message::Part(of_other) = sent[0].1.clone() else {
        panic!("a part");
    };
    // A whole text, but not the one that was offered.
    let exchanged = Part {
        mark: part.mark,
        ..of_other
    };
    for wrong in [
        [exchanged.clone(), exchanged],
        [flipped.clone(), longer],
        [whole.clone(), flipped],
        [huge, whole],
    ] {
        vms[1].receive(1, offers[0].1.clone());
        for part in wrong {
            vms[1].receive(1, Message::Part(part));
        }
        assert_eq!(vms[1].text(), None);
    }
    let fetch = vms[1].receive(1, offers[0].1.clone());
    settle(&mut vms, &links, vec![(1, fetch[0].clone())]);
    assert_eq!(vms[1].text(), Some(&*text));
}

// Guards against an offer of what a VM has, or of an older text, that starts a download.
#[test]
fn only_newer_texts_are_fetched() {
    let (mut vms, _) = chain(&["a", "b"]);
    let old = text(60_000, false);
    let old_offers = vms[0].publish(1, &old);
    vms[1].publish(2, &text(50_000, false));
    assert_eq!(vms[1].receive(1, old_offers[0].1.clone()), Vec::new());
    vms[1].publish(3, &old);
    let own = vms[1].catalogue.get(KEY).and_then(Record::valid_mark);
    let offer = Offer {
        key: KEY.into(),
        mark: own.expect("a text in effect"),
    };
    let offers = Message::Offers(Offers {
        offers: vec![offer],
    });
    assert_eq!(vms[1].receive(1, offers), Vec::new());
}

// Guards against an upgrade during which VMs of the release before get no large texts.
#[test]
fn a_peer_that_knows_no_offers_gets_whole_texts() {
    let mut vm = Vm::new("a");
    vm.link(1, "b", Delivery::Whole);
    vm.link(2, "c", Delivery::Offered);
    let text = text(60_000, false);
    let sent = vm.publish(1, &text);
    for (links, message) in &sent {
        let expected = matches!(message, Message::Entries(_));
        assert_eq!(*links == [Link(1)], expected, "{links:?}");
    }
    assert_eq!(sent.len(), 2);
    let Some((_, Message::Entries(entries))) = sent.iter().find(|(links, _)| *links == [Link(1)])
    else {
        panic!("a whole text: {sent:?}");
    };
    assert_eq!(entries.contents, [content(1, &text)]);
}
