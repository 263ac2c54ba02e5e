//! Questions that salvo handlers ask the loop that owns the state.

use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// A question of an HTTP handler with the channel for its answer.
pub(crate) struct Query {
    pub(crate) question: Question,
    pub(crate) reply: oneshot::Sender<Value>,
}

/// What a handler may ask.
#[derive(Debug)]
pub(crate) enum Question {
    /// Which addresses may a caller of the service use?
    Addresses(Box<str>),
    /// How is this VM?
    Status,
}

/// Sends questions to the loop.
#[derive(Clone)]
pub(crate) struct Client {
    queries: mpsc::Sender<Query>,
}

impl Client {
    pub(crate) fn new(queries: mpsc::Sender<Query>) -> Self {
        Self { queries }
    }

    /// The loop's answer, or none while the process is stopping.
    pub(crate) async fn ask(&self, question: Question) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.queries.send(Query { question, reply }).await.ok()?;
        answer.await.ok()
    }
}
