/** The decision duty: feeds the decision core with events and carries out its actions. */
package org.mangowall.router.decision;
