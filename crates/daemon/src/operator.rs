//! Pages for operators; docs/operator-api.md describes them.

use salvo::Request;
use salvo::Router;

use crate::page;
use crate::page::Read;
use crate::query::Client;
use crate::query::Filter;
use crate::query::Question;

const AUDIT_LIMIT: usize = 512;
const AUDIT_LIMIT_MAX: usize = 4_096;

pub(crate) fn router(client: &Client) -> Router {
    let pages: [(&str, Read); 9] = [
        ("healthz", |_| Question::Health),
        ("readyz", |_| Question::Readiness),
        ("v1/status", |_| Question::Status),
        ("v1/catalogue", |_| Question::Catalogue),
        ("v1/explain/entry/{name}", |request| {
            Question::Entry(param(request, "name"))
        }),
        ("v1/explain/target/{service}/{name}", |request| {
            Question::Target(param(request, "service"), param(request, "name"))
        }),
        ("v1/explain/vm/{name}", |request| {
            Question::Vm(param(request, "name"))
        }),
        ("v1/fleet", |_| Question::Fleet),
        ("v1/audit", |request| Question::Audit(filter(request))),
    ];
    pages
        .into_iter()
        .map(|(path, question)| page::router(client, path, question))
        .fold(Router::new(), Router::push)
}

/// The page for a collector of metrics.
pub(crate) fn metrics(client: &Client) -> Router {
    page::router(client, "metrics", |_| Question::Metrics)
}

/// The readiness page for a platform.
pub(crate) fn readiness(client: &Client, path: &str) -> Router {
    page::router(client, path, |_| Question::Readiness)
}

fn param(request: &Request, name: &str) -> Box<str> {
    request.param::<String>(name).unwrap_or_default().into()
}

fn filter(request: &Request) -> Filter {
    let text = |name: &str| request.query::<String>(name).map(Into::into);
    let limit = request.query::<usize>("limit").unwrap_or(AUDIT_LIMIT);
    Filter {
        subject: text("subject"),
        kind: text("kind"),
        after: text("after"),
        limit: limit.clamp(1, AUDIT_LIMIT_MAX),
    }
}
