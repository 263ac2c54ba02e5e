//! The directory: HTTP paths at which callers learn which addresses to use.

use salvo::Router;

use crate::host::Paths;
use crate::page;
use crate::query::Client;
use crate::query::Question;

pub(crate) fn router(client: &Client, paths: Option<Paths>) -> Router {
    let own = page::router(client, "v1/addresses", |request| {
        let service = request.query::<String>("service").unwrap_or_default();
        Question::Addresses(service.into())
    });
    let router = Router::new().push(own);
    let Some(paths) = paths else {
        return router;
    };
    router.push(page::router(client, paths.addresses, |request| {
        Question::Homes(request.uri().query().unwrap_or_default().into())
    }))
}
