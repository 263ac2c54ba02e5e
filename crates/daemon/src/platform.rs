//! Reads the configuration service and the VM list while this VM is a reader.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oriolecleat_core::catalogue::MAX_TOTAL_BYTES;
use oriolecleat_core::gateway::Call;
use oriolecleat_core::gateway::LINE_BYTES;
use oriolecleat_core::gateway::Session;
use oriolecleat_core::gateway::Update;
use oriolecleat_core::message::Content;
use oriolecleat_core::settings::Platform;
use oriolecleat_core::time::Span;
use oriolecleat_core::vmlist;
use tokio::net::TcpStream;

use crate::metrics::Count;
use crate::node::Node;
use crate::node::Shared;

/// First key of the catalogue; the range reaches from the entries to the key `fleet`.
const CATALOGUE_FIRST: &str = "entries/";
const CATALOGUE_END: &str = "fleet\0";
const VM_LIST_END: &str = "vms0";
const VM_LIST_RETRY_MS: u64 = 1_000;
const CALL_TIMEOUT_MS: u64 = 5_000;
const BUDGET_POLL_MS: u64 = 20;
/// Silence after which a watch is opened again; the service sends progress more often.
const WATCH_SILENCE_MS: u64 = 15_000;

/// A read that failed.
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Source of data that a reader follows.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Feed {
    /// The catalogue in the configuration service.
    Catalogue,
    /// The list of live and leaving VMs.
    VmList,
}

impl Feed {
    fn address(self, platform: &Platform) -> Option<SocketAddr> {
        match self {
            Self::Catalogue => Some(platform.configuration),
            Self::VmList => platform.vm_list,
        }
    }

    fn session(self) -> Session {
        match self {
            Self::Catalogue => Session::new(CATALOGUE_FIRST, CATALOGUE_END),
            Self::VmList => Session::new(vmlist::PREFIX, VM_LIST_END),
        }
    }
}

/// Reads and watches `feed` whenever this VM is a reader.
pub(crate) async fn follow(node: Shared, feed: Feed) {
    let address = feed.address(&node.borrow().settings.platform);
    let Some(address) = address else {
        return;
    };
    let mut reading = node.borrow().links.reading.subscribe();
    let mut session = feed.session();
    loop {
        // The node holds the sender, so the channel is open until the process ends.
        let _ = reading.wait_for(|reading| *reading).await;
        let ended = tokio::select! {
            ended = read(&node, &mut session, address, feed) => ended,
            _ = reading.wait_for(|reading| !*reading) => continue,
        };
        if let Err(error) = ended {
            log::warn!(cause:% = error, feed:? = feed; "reading the platform failed");
        }
        match feed {
            Feed::Catalogue => node.borrow_mut().end_reading(),
            Feed::VmList => tokio::time::sleep(Duration::from_millis(VM_LIST_RETRY_MS)).await,
        }
    }
}

async fn read(
    node: &Shared,
    session: &mut Session,
    address: SocketAddr,
    feed: Feed,
) -> Result<(), Failure> {
    loop {
        acquire_call(node).await;
        let sent_at = node.borrow().clock.now();
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        match session.next_call() {
            Call::Range(body) => {
                let response = tokio::time::timeout(timeout, async {
                    let response = post(address, "/v3/kv/range", &body).await?;
                    // Base64 adds a third; the JSON around each pair takes the rest.
                    let body = Limited::new(response.into_body(), 2 * MAX_TOTAL_BYTES);
                    Ok::<_, Failure>(body.collect().await?.to_bytes())
                });
                let news = session.apply_range(&response.await??)?;
                let age = node.borrow().clock.now().since(sent_at);
                node.borrow_mut().apply_update(node, feed, news, age);
            }
            Call::Watch(body) => {
                let response = post(address, "/v3/watch", &body);
                let response = tokio::time::timeout(timeout, response).await??;
                node.borrow_mut().set_watch_pending(feed, true);
                let ended = read_watch(node, session, response.into_body(), feed).await;
                node.borrow_mut().set_watch_pending(feed, false);
                ended?;
            }
        }
    }
}

/// Waits until the budget of calls allows another one.
async fn acquire_call(node: &Shared) {
    loop {
        {
            let mut node = node.borrow_mut();
            let now = node.clock.now();
            if node.reader.budget().spend(now) {
                node.metrics.add(Count::ConfigurationCalls, 1);
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(BUDGET_POLL_MS)).await;
    }
}

/// Reads and applies the lines of a watch until the service ends it.
async fn read_watch(
    node: &Shared,
    session: &mut Session,
    mut body: Incoming,
    feed: Feed,
) -> Result<(), Failure> {
    let silence = Duration::from_millis(WATCH_SILENCE_MS);
    let mut buffer = Vec::new();
    while let Some(frame) = tokio::time::timeout(silence, body.frame()).await? {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let news = session.apply_line(&line)?;
            let ended = news.ended;
            node.borrow_mut().apply_update(node, feed, news, Span::ZERO);
            if ended {
                return Ok(());
            }
        }
        if buffer.len() > LINE_BYTES {
            return Err("a line of the watch exceeds the size limit".into());
        }
    }
    Err("the service closed the watch".into())
}

impl Node {
    fn apply_update(&mut self, node: &Shared, feed: Feed, news: Update, age: Span) {
        match feed {
            Feed::Catalogue => self.publish_update(node, news, age),
            Feed::VmList => self.update_vm_list(&news),
        }
    }

    /// Counts a pending watch of the configuration service as one call.
    fn set_watch_pending(&mut self, feed: Feed, pending: bool) {
        match feed {
            Feed::Catalogue => {
                let now = self.clock.now();
                self.reader.budget().set_watch_pending(now, pending);
            }
            Feed::VmList => {}
        }
    }

    /// Publishes an update of the configuration service that was complete `age` ago.
    pub(crate) fn publish_update(&mut self, node: &Shared, news: Update, age: Span) {
        self.reader.record_response(self.clock.now());
        let hosted = self.hosted.as_ref().zip(news.era);
        let version = |key: &str, revision, text: Option<&str>| match hosted {
            Some((hosted, era)) => {
                let number = text.and_then(|text| hosted.host.number(key, text));
                self.catalogue.opaque_version(key, era, revision, number)
            }
            None => self.catalogue.version(key, revision, text),
        };
        let content = |key: Box<str>, revision, text: Option<Box<str>>| Content {
            version: version(&key, revision, text.as_deref()),
            key,
            text,
        };
        let present: Vec<(Box<str>, u64)> = news
            .changes
            .iter()
            .map(|change| (change.key.clone(), change.revision))
            .collect();
        let contents: Vec<Content> = news
            .changes
            .into_iter()
            .map(|change| content(change.key, change.revision, change.value))
            .collect();
        if let Some(last) = present.iter().map(|(_, revision)| *revision).max() {
            self.revision = self.revision.max(last);
        }
        self.event(node, |gossip, context| gossip.publish(context, contents));
        if let Some(revision) = news.snapshot_revision {
            self.revision = revision;
            self.event(node, |gossip, context| {
                let present: Vec<(&str, u64)> = present
                    .iter()
                    .map(|(key, revision)| (&**key, *revision))
                    .collect();
                gossip.publish_snapshot(context, news.era, revision, &present)
            });
        }
        if news.confirmed {
            self.event(node, |gossip, context| gossip.confirm_view(context, age));
        }
    }

    fn end_reading(&mut self) {
        let now = self.clock.now();
        self.reader.record_end(now, &mut self.rng);
        self.links.reading.send_replace(false);
    }
}

async fn post(address: SocketAddr, path: &str, body: &str) -> Result<Response<Incoming>, Failure> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    let request = Request::post(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(format!("the service answered with status {}", response.status()).into());
    }
    Ok(response)
}
