/** Tests of the demo. */
package org.mangowall.standin.demo;
