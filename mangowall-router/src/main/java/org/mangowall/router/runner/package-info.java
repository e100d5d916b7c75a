/** Requests to runners and their answers, over HTTP by AsyncHttpClient. */
package org.mangowall.router.runner;
