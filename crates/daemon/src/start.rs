//! Starts the tasks of the daemon on one thread.

use std::cell::RefCell;
use std::fmt;
use std::path::Path;
use std::rc::Rc;

use error_stack::Report;
use error_stack::ResultExt;
use oriolecleat_core::settings::Settings;
use oriolecleat_core::stop::Phase;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use salvo::Router;
use salvo::Server;
use salvo::conn::Acceptor;
use salvo::conn::Listener;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::accept;
use crate::clock::Clock;
use crate::directory;
use crate::feed;
use crate::fleet;
use crate::halt;
use crate::host::Host;
use crate::node::Node;
use crate::node::Shared;
use crate::operator;
use crate::peer;
use crate::platform;
use crate::platform::Feed;
use crate::probe;
use crate::query::Client;
use crate::query::Query;
use crate::reload;
use crate::signals::Signals;
use crate::timer;

/// Queries that wait for the event loop; the handlers of further ones wait to enqueue them.
const QUERY_QUEUE: usize = 256;

/// Why the daemon could not start.
#[derive(Debug)]
pub struct Failure(&'static str);

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0)
    }
}

impl std::error::Error for Failure {}

/// Runs the daemon with `settings`, which were read from `path`, until its planned stop is complete.
///
/// # Errors
///
/// Returns why the daemon could not start.
pub fn run(settings: Settings, path: &Path) -> Result<(), Report<Failure>> {
    start(settings, path, None)
}

/// Runs the daemon for a platform until its planned stop is complete.
///
/// # Errors
///
/// Returns why the daemon could not start.
pub fn run_hosted(
    settings: Settings,
    path: &Path,
    host: Rc<dyn Host>,
) -> Result<(), Report<Failure>> {
    start(settings, path, Some(host))
}

fn start(
    settings: Settings,
    path: &Path,
    host: Option<Rc<dyn Host>>,
) -> Result<(), Report<Failure>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Failure("the event loop could not be created"))?;
    LocalSet::new().block_on(&runtime, serve(settings, path, host))
}

async fn serve(
    settings: Settings,
    path: &Path,
    host: Option<Rc<dyn Host>>,
) -> Result<(), Report<Failure>> {
    // A signal that comes during the start must not end the process.
    let signals = Signals::open().change_context(Failure("signals cannot be received"))?;
    let listen = settings.listen.clone();
    let callers = TcpListener::bind(listen.caller)
        .await
        .change_context(Failure("the caller port could not be opened"))?;
    let directory = salvo::conn::TcpListener::new(listen.directory)
        .try_bind()
        .await
        .change_context(Failure("the directory port could not be opened"))?;
    let operators = salvo::conn::TcpListener::new(listen.operator)
        .try_bind()
        .await
        .change_context(Failure("the operator port could not be opened"))?;
    let peers = TcpListener::bind(listen.peer)
        .await
        .change_context(Failure("the peer port could not be opened"))?;
    let vm = settings.vm.clone();
    let rng = SmallRng::from_rng(&mut rand::rng());
    let (probes, orders) = mpsc::unbounded_channel();
    let hosting = settings.hosting.clone();
    let paths = host.as_ref().map(|host| host.paths());
    let node = Node::new(settings, Clock::start(), rng, probes, host.clone());
    let node: Shared = Rc::new(RefCell::new(node));
    tokio::task::spawn_local(peer::serve(node.clone(), peers));
    tokio::task::spawn_local(fleet::run(node.clone()));
    fleet::join(&node).await;
    let (sender, queries) = mpsc::channel(QUERY_QUEUE);
    let client = Client::new(sender);
    spawn_server(directory, directory::router(&client, paths));
    spawn_server(operators, operator::router(&client));
    if let (Some(hosting), Some(paths)) = (&hosting, paths) {
        let ready = salvo::conn::TcpListener::new(hosting.ready)
            .try_bind()
            .await
            .change_context(Failure("the readiness port could not be opened"))?;
        spawn_server(ready, operator::readiness(&client, paths.ready));
        if let Some(address) = hosting.metrics {
            let metrics = salvo::conn::TcpListener::new(address)
                .try_bind()
                .await
                .change_context(Failure("the metrics port could not be opened"))?;
            spawn_server(metrics, operator::metrics(&client));
        }
    }
    tokio::task::spawn_local(answer(node.clone(), queries));
    match host {
        Some(host) => {
            tokio::task::spawn_local(feed::follow(node.clone(), host));
        }
        None => {
            for feed in [Feed::Catalogue, Feed::VmList] {
                tokio::task::spawn_local(platform::follow(node.clone(), feed));
            }
        }
    }
    tokio::task::spawn_local(probe::run(node.clone(), orders));
    tokio::task::spawn_local(timer::run(node.clone()));
    log::info!(vm:% = vm, caller:% = listen.caller, directory:% = listen.directory; "serving");
    let mut phases = node.borrow().phases.subscribe();
    let Signals {
        hangup,
        terminate,
        interrupt,
    } = signals;
    tokio::task::spawn_local(halt::listen(node.clone(), terminate, interrupt));
    tokio::task::spawn_local(reload::listen(node.clone(), path.to_owned(), hangup));
    let stopping = node.clone();
    tokio::task::spawn_local(accept::serve(node, callers));
    // The node holds the sender, so the channel is open until the process ends.
    let _ = phases
        .wait_for(|phase| matches!(phase, Phase::Stopped(_)))
        .await;
    fleet::announce_stop(&stopping).await;
    log::info!("stopped");
    Ok(())
}

fn spawn_server<A>(acceptor: A, router: Router)
where
    A: Acceptor + Send + 'static,
{
    tokio::spawn(Server::new(acceptor).serve(router));
}

async fn answer(node: Shared, mut queries: mpsc::Receiver<Query>) {
    while let Some(query) = queries.recv().await {
        let answer = node.borrow_mut().answer(query.question);
        // A handler whose client left does not wait for the answer.
        let _ = query.reply.send(answer);
    }
}
