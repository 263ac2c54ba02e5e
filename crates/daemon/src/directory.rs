//! Tells callers which addresses to use.

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;

use crate::host::Paths;
use crate::query::Client;
use crate::query::Question;

struct Addresses {
    client: Client,
}

/// The page that a platform's callers ask.
struct Homes {
    client: Client,
}

#[async_trait]
impl Handler for Homes {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let query = request.uri().query().unwrap_or_default();
        let answer = self.client.ask(Question::Homes(query.into())).await;
        answer.render(response);
    }
}

#[async_trait]
impl Handler for Addresses {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let service = request.query::<String>("service").unwrap_or_default();
        let answer = self.client.ask(Question::Addresses(service.into())).await;
        answer.render(response);
    }
}

pub(crate) fn router(client: &Client, paths: Option<Paths>) -> Router {
    let addresses = Addresses {
        client: client.clone(),
    };
    let router = Router::new().push(Router::with_path("v1/addresses").get(addresses));
    let Some(paths) = paths else {
        return router;
    };
    let homes = Homes {
        client: client.clone(),
    };
    router.push(Router::with_path(paths.addresses).get(homes))
}
