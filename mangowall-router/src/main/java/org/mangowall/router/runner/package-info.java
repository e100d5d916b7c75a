/** HTTP client side of the router: sends requests to runners, measures their answers and polls their load. */
package org.mangowall.router.runner;
