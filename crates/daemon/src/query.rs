//! Queries of the salvo handlers to the event loop that owns the state.

use salvo::Response;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::writing::Text;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// A question of an HTTP handler, with the channel for the answer.
pub(crate) struct Query {
    pub(crate) question: Question,
    pub(crate) reply: oneshot::Sender<Answer>,
}

/// The data that a handler asks for.
#[derive(Debug)]
pub(crate) enum Question {
    /// Addresses for callers of the service with this name.
    Addresses(Box<str>),
    /// Addresses for a caller of the platform, by the query string of its request.
    Homes(Box<str>),
    /// Health of the process: the event loop answers.
    Health,
    /// Readiness: whether this VM serves callers on a fresh view.
    Readiness,
    /// All counters, gauges and histograms.
    Metrics,
    /// Status of this VM.
    Status,
    /// Keys of the catalogue that this VM knows.
    Catalogue,
    /// What is in effect for the entry with this name, and why.
    Entry(Box<str>),
    /// Whether a target gets requests, and why; by the names of its service and of the target.
    Target(Box<str>, Box<str>),
    /// What is known of the VM with this name.
    Vm(Box<str>),
    /// Members of the fleet.
    Fleet,
    /// Audit records of changes.
    Audit(Filter),
}

/// Which audit records to return.
#[derive(Debug, Default)]
pub(crate) struct Filter {
    pub(crate) subject: Option<Box<str>>,
    pub(crate) kind: Option<Box<str>>,
    pub(crate) after: Option<Box<str>>,
    pub(crate) limit: usize,
}

/// An answer with its HTTP status.
pub(crate) struct Answer {
    status: StatusCode,
    body: Body,
}

enum Body {
    Json(Value),
    Text(Box<str>),
}

impl Answer {
    /// A JSON answer with status 200.
    pub(crate) fn ok(body: Value) -> Self {
        Self {
            status: StatusCode::OK,
            body: Body::Json(body),
        }
    }

    /// A plain-text answer with status 200.
    pub(crate) fn text(text: Box<str>) -> Self {
        Self {
            status: StatusCode::OK,
            body: Body::Text(text),
        }
    }

    /// A JSON answer with status 404 and the error `what`.
    pub(crate) fn unknown(what: &str) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            body: Body::Json(json!({ "error": what })),
        }
    }

    /// A JSON answer with status 503.
    pub(crate) fn unavailable(body: Value) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            body: Body::Json(body),
        }
    }

    /// Writes the answer into `response`.
    pub(crate) fn render(self, response: &mut Response) {
        response.status_code(self.status);
        match self.body {
            Body::Json(body) => response.render(Json(body)),
            Body::Text(text) => response.render(Text::Plain(String::from(text))),
        }
    }
}

/// Sends questions to the event loop.
#[derive(Clone)]
pub(crate) struct Client {
    queries: mpsc::Sender<Query>,
}

impl Client {
    pub(crate) fn new(queries: mpsc::Sender<Query>) -> Self {
        Self { queries }
    }

    /// Asks the event loop and waits for its answer; status 503 if the process is stopping.
    pub(crate) async fn ask(&self, question: Question) -> Answer {
        let (reply, answer) = oneshot::channel();
        let query = Query { question, reply };
        let sent = self.queries.send(query).await;
        let stopping = || Answer::unavailable(json!({ "error": "the process is stopping" }));
        match sent {
            Ok(()) => answer.await.unwrap_or_else(|_| stopping()),
            Err(_) => stopping(),
        }
    }
}
