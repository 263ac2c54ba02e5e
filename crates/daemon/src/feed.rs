//! Reads the store of the platform that hosts the fleet, while this VM is a reader.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oriolecleat_core::gateway::Update;
use oriolecleat_core::site::feed;
use oriolecleat_core::site::feed::Contact;
use oriolecleat_core::site::feed::Session;
use oriolecleat_core::site::feed::Standing;
use oriolecleat_core::site::freshness::Freshness;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::RngExt;
use tokio::net::TcpStream;

use crate::clock;
use crate::host::Host;
use crate::logs;
use crate::metrics::Count;
use crate::node::Shared;
use crate::socket;

/// Time on top of the wait in which the answer to a call has to arrive; the store answers within
/// milliseconds and may be two regions away.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after changes, so that changes close together are read in one call.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);
/// Pauses after failed calls: a random part of a limit that doubles from the first to the last.
const RETRY_FIRST: Duration = Duration::from_millis(150);
const RETRY_LAST: Duration = Duration::from_secs(1);
/// Largest answer: 500 items or 1 MB of values in base64 with their frames.
const ANSWER_BYTES: usize = 8 << 20;

/// A call that failed.
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// A connection to the store.
struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads the store whenever this VM is a reader.
pub(crate) async fn follow(node: Shared, host: Rc<dyn Host>) {
    let address = node.borrow().settings.platform.configuration;
    let mut reading = node.borrow().links.reading.subscribe();
    loop {
        // The node holds the sender, so the channel is open until the process ends.
        let _ = reading.wait_for(|reading| *reading).await;
        tokio::select! {
            () = read(&node, &*host, address) => {}
            _ = reading.wait_for(|reading| !*reading) => {}
        }
    }
}

/// One time of reading, from its start to its end.
#[derive(Default)]
struct Reading {
    session: Session,
    freshness: Freshness,
    connection: Option<Connection>,
    contact: Contact,
    /// Keys listed from pages that may be old. They are published together with the changes that were
    /// made since, so that what was removed in between is not used.
    listed: Option<Update>,
    /// How long ago the keys may have vanished that the first listing and the changes since its pages
    /// remove: the age of the view at the start, none if it was never complete. Zero if the store was
    /// away meanwhile, when they may have lapsed.
    unseen: Option<Span>,
}

impl Reading {
    /// Length of the next wait for changes. What has changed since old pages is answered at once, and makes
    /// the state complete; nobody may use it before.
    fn next_wait(&self, now: Instant, longest: Span) -> Span {
        let may_wait = self.session.is_listed()
            && self.session.is_caught_up()
            && self.listed.is_none()
            && !self.contact.is_in_doubt();
        if !may_wait {
            return Span::ZERO;
        }
        Span::from_millis(self.freshness.next_wait(now, longest).as_millis())
    }
}

/// Reads the store until this VM is no reader any more.
async fn read(node: &Shared, host: &dyn Host, address: SocketAddr) {
    let mut reading = {
        let node = node.borrow();
        Reading {
            session: Session::new(node.catalogue.era()),
            unseen: node.reader.age(node.clock.now()),
            ..Reading::default()
        }
    };
    loop {
        match make_call(node, host, address, &mut reading).await {
            Ok(changed) => {
                if changed {
                    tokio::time::sleep(CHANGE_PAUSE).await;
                }
            }
            Err(error) => {
                if !reading.contact.is_in_doubt() {
                    let view_age_ms = node.borrow().view_age_ms();
                    log::warn!(cause:% = logs::chain(&*error), view_age_ms; "reading the store failed");
                }
                reading.connection = None;
                reading.unseen = Some(Span::ZERO);
                if let Some(listed) = reading.listed.take() {
                    node.borrow_mut().publish_update(node, listed, Span::ZERO);
                }
                let wait = {
                    let mut node = node.borrow_mut();
                    let now = node.clock.now();
                    if node.reader.record_failure(now) {
                        // The next tick closes this reading, unless the VM became a reader meanwhile.
                        RETRY_LAST
                    } else {
                        let limit =
                            RETRY_FIRST * 2_u32.saturating_pow(reading.contact.failures().min(8));
                        let share = node.rng.random_range(0.5..1.0);
                        limit.min(RETRY_LAST).mul_f64(share)
                    }
                };
                reading.contact.record_failure();
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Makes one call and returns whether a wait returned changes.
async fn make_call(
    node: &Shared,
    host: &dyn Host,
    address: SocketAddr,
    reading: &mut Reading,
) -> Result<bool, Failure> {
    let call = reading.session.next_call();
    let waits = matches!(call, feed::Call::Wait { .. });
    let (sent_at, wait) = {
        let mut node = node.borrow_mut();
        node.metrics.add(Count::ConfigurationCalls, 1);
        let now = node.clock.now();
        let longest = node.reader.longest_wait(node.gossip.fleet());
        (now, reading.next_wait(now, longest))
    };
    reading.freshness.record_call(sent_at, &call);
    let path = host.call(&call, clock::duration(wait));
    let limit = clock::duration(wait) + CALL_TIMEOUT;
    let answer = send_call(&mut reading.connection, address, &path);
    let answer = tokio::time::timeout(limit, answer).await??;
    if !check_era(node, reading, host.era(answer.headers())?)? {
        return Ok(false);
    }
    let Reading {
        session,
        freshness,
        contact,
        listed,
        unseen,
        ..
    } = reading;
    let status = answer.status();
    let body = answer.into_body();
    let news = if waits {
        let changes = host.changes(status, &body)?;
        record_answer(node, contact);
        let gone = matches!(changes, feed::Changes::Gone);
        let news = session.apply_changes(changes);
        if gone || news.is_none() {
            log::warn!("the store lost part of its change history: reading all keys again");
        }
        news
    } else if status.is_success() {
        let page = host.page(&body)?;
        record_answer(node, contact);
        session.apply_page(page)
    } else {
        return Err(format!("the store answered with status {status}").into());
    };
    let Some(news) = news else {
        return Ok(false);
    };
    if !news.confirmed {
        *listed = Some(news);
        return Ok(false);
    }
    let changed = !news.changes.is_empty();
    let mut state = node.borrow_mut();
    let now = state.clock.now();
    if waits {
        freshness.record_wait(now, sent_at, wait, changed);
    } else {
        freshness.record_listing();
    }
    let age = freshness.age(now).unwrap_or_default();
    state.removal_age = unseen.replace(Span::ZERO);
    // Pages that are current replace old ones, whose history is gone.
    if let Some(listed) = listed.take().filter(|_| waits) {
        state.publish_update(node, listed, Span::ZERO);
    }
    state.publish_update(node, news, age);
    state.expire_registrations();
    state.removal_age = Some(Span::ZERO);
    drop(state);
    Ok(changed && waits)
}

/// Whether an answer of `era` can be applied; if not, the store was restored, and all keys are read again.
///
/// # Errors
///
/// Fails if the answer is of an era that is over.
fn check_era(node: &Shared, reading: &mut Reading, era: Option<u64>) -> Result<bool, Failure> {
    let before = reading.session.era();
    let newest = node.borrow().catalogue.era();
    match reading.session.check_era(newest, era) {
        Standing::Current => Ok(true),
        Standing::Restored => {
            record_answer(node, &mut reading.contact);
            reading.listed = None;
            reading.unseen = Some(Span::ZERO);
            let era = reading.session.era();
            log::warn!(era, before; "the store was restored from a copy: reading all keys again");
            Ok(false)
        }
        Standing::Outdated => {
            reading.listed = None;
            let metrics = &mut node.borrow_mut().metrics;
            metrics.add(Count::StoreOutdatedAnswers, 1);
            let newest = newest.max(before);
            Err(
                format!("the store answered from its era {era:?}, before the known {newest}")
                    .into(),
            )
        }
    }
}

/// Records that the store answered a call.
fn record_answer(node: &Shared, contact: &mut Contact) {
    {
        let mut node = node.borrow_mut();
        let now = node.clock.now();
        node.reader.record_response(now);
    }
    let failures = contact.failures();
    if contact.record_answer() {
        log::info!(failures; "the store answers again after an outage");
        node.borrow_mut().record_return();
    } else if failures > 0 {
        log::info!(failures; "the store answers again");
    }
}

/// Sends one call and returns its answer.
async fn send_call(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
) -> Result<Response<Bytes>, Failure> {
    // A connection with an unfinished call must not be reused.
    let mut used = match connection.take() {
        Some(line) if line.sender.is_ready() => line,
        Some(_) | None => connect(address).await?,
    };
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Empty::new())?;
    let (head, body) = used.sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, ANSWER_BYTES).collect().await?;
    *connection = Some(used);
    Ok(Response::from_parts(head, body.to_bytes()))
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    socket::keep_alive(&stream)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(cause:% = error; "connection to the store ended");
        }
    });
    Ok(Connection { sender, driver })
}
