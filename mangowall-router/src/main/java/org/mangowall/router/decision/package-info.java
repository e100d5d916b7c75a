/** Runs the decision core of a router: feeds it events and executes its actions. */
package org.mangowall.router.decision;
